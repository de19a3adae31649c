"""How fast the engines of each service prefill, as this gateway and its peers learn."""

from robinspindle.core import prefillmodel
from robinspindle.core.peerdigests import PrefillStatistics
from robinspindle.core.prefillmodel import PrefillModel


class EnginePaces:
    """The models of all services, by service and by whether engines only prefill."""

    def __init__(self):
        self._models: dict[tuple[str, bool], PrefillModel] = {}

    def find(self, service: str, prefill_only: bool) -> PrefillModel:
        """Find how fast a service's engines prefill in a role."""
        key = (service, prefill_only)
        if key not in self._models:
            self._models[key] = prefillmodel.make_prefill_model(prefill_only)
        return self._models[key]

    def list_learnt(self) -> list[PrefillStatistics]:
        """List what this gateway has learnt by itself."""
        return [
            PrefillStatistics(service, prefill_only, model.own)
            for (service, prefill_only), model in self._models.items()
            if model.own.weight > 0
        ]

    def note_learnt(self, peer: str, learnt: list[PrefillStatistics]) -> None:
        """Record what a peer has learnt."""
        for told in learnt:
            model = self.find(told.service, told.prefill_only)
            prefillmodel.note_peer_sums(model, peer, told.sums)

    def forget_peer(self, peer: str) -> None:
        """Forget what a peer that fell silent has told."""
        for model in self._models.values():
            prefillmodel.forget_peer_sums(model, peer)
