"""What a gateway and the others remember of who began which stream."""

import asyncio
import itertools
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from robinspindle.core.streamorigins import (
    OriginTable,
    StreamKey,
    StreamOrigin,
    choose_asked,
    choose_told,
    find_origin,
    note_origin,
)
from robinspindle.logs import Log
from robinspindle.originlink import (
    MAX_NUMBER,
    MOST_TELLS,
    Answer,
    Ask,
    Keeps,
    Message,
    OriginLink,
    Tell,
    Tells,
    Written,
    make_tell,
    read_tell,
)
from robinspindle.originlog import MOST_UNWRITTEN, OriginLog
from robinspindle.peers import Peers, list_heard

TELL_DELAY_S = 0.02
"""How long an origin waits for others to be told to the same gateway, seconds."""

ASK_AGAIN_S = 0.1
"""After how long those that haven't answered are asked again, seconds: longer than a
datagram takes there and back."""

ASK_LIMIT_S = 0.3
"""How long an answer is waited for, seconds."""

WRITTEN_LIMIT_S = 0.3
"""How long an origin may be on its way to the relay and to the store, and the answer on
its way back, seconds; the relay's interval comes on top."""

STORE = "store"
"""Who has told an origin that was read in the store, for logs."""

MOST_RUNNING = 8192
"""Maximum number of own streams that are known to be under way; of more, the oldest are
not written to the store when a second version comes."""

MOST_ASKS = 256
"""Asks under way; beyond them a stream is not known at once."""


@dataclass
class StreamCounts:
    """What happened so far.

    Attributes:
        begun: Streams that this gateway noted, those that go on included.
        asked: Streams that other gateways were asked for.
        looked_up: Streams that were looked for in the store.
        unknown: Streams whose origin no gateway told.
        conflicts: Origins that were not noted, as another one is known.
    """

    begun: int = 0
    asked: int = 0
    looked_up: int = 0
    unknown: int = 0
    conflicts: int = 0


@dataclass(frozen=True)
class HandedOrigin:
    """An origin that a relay is to write to the store.

    Attributes:
        origin: The origin.
        relay: Name of the relay.
    """

    origin: StreamOrigin
    relay: str


@dataclass
class PendingAsk:
    """A stream that other gateways are asked for.

    Attributes:
        number: Number of the ask.
        key: The stream's key.
        silent: Names of those that haven't answered.
        expected: Names of those among them without whose answers it isn't given up
            before its time.
        found: Its origin once an answer brings it; None once it is given up.
        timers: Those that ask again and give up.
    """

    number: int
    key: StreamKey
    silent: list[str]
    expected: set[str]
    found: asyncio.Future[StreamOrigin | None] = field(default_factory=asyncio.Future)
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


class StreamMemory:
    """Remembers origins, tells their holders, and asks them and the store.

    Attributes:
        table: The origins that this gateway knows.
        counts: What happened so far.
    """

    def __init__(
        self,
        peers: Peers,
        link: OriginLink,
        kept: OriginLog,
        clock: Callable[[], float],
        log: Log,
    ):
        self.table = OriginTable()
        self.counts = StreamCounts()
        self._peers = peers
        self._link = link
        self._kept = kept
        self._clock = clock
        self._log = log
        self._untold: dict[str, list[Tell]] = {}
        self._asks: dict[StreamKey, PendingAsk] = {}
        self._asks_by_number: dict[int, PendingAsk] = {}
        self._numbers: Iterator[int] = itertools.count(1)
        self._conflicting: set[str] = set()
        self._first_look: asyncio.Task[bool] | None = None
        # Own streams under way, by which version they were begun.
        self._running: dict[StreamKey, StreamOrigin] = {}
        # Origins that relays have not said to have written.
        self._handed: dict[StreamKey, HandedOrigin] = {}
        # Who is to be told once an origin is written here, the oldest first.
        self._handed_by: dict[StreamKey, str] = {}
        link.take = self._take
        kept.take = self._take_kept
        kept.note_written = self._tell_written

    def note_begun(
        self, key: StreamKey, origin: StreamOrigin, is_kept: bool = False
    ) -> None:
        """Remember who began a stream, and queue telling its holders.

        It is called again when a stream goes on, so that its holders keep it.

        Args:
            key: The stream's key.
            origin: Who began it.
            is_kept: Whether it is written to the store, as other versions may begin
                streams too.
        """
        self.counts.begun += 1
        if not self._note(key, origin, self._peers.name):
            return
        self._note_running(key, origin)
        if is_kept:
            self._keep({key: origin})
        first = find_origin(self.table, key, self._clock()) or origin
        heard = set(list_heard(self._peers))
        for name in choose_told(key, list(self._peers.members), heard):
            self._queue(name, make_tell(key, first))

    def note_several(self, service: str) -> None:
        """Take note that a service's streams may have been begun by several versions.

        What others have written to the store is read at once: a gateway that starts
        with all others is too busy to look for each stream that is taken up.
        """
        self.keep_running(service)
        if self._first_look is None or self._first_look.done():
            self._first_look = asyncio.create_task(self._kept.look())

    def note_whole(self, key: StreamKey) -> None:
        """Take note that a stream is whole: nobody takes it up any more."""
        self._handed.pop(key, None)
        if self._running.pop(key, None) is not None:
            self._kept.drop(key)

    def keep_running(self, service: str) -> None:
        """Write streams under way to the store, as a second version may begin some.

        Those that broke off long ago are under way no longer.
        """
        now = self._clock()
        self._keep(
            {
                key: origin
                for key, origin in self._running.items()
                if origin.service == service
                and find_origin(self.table, key, now) is not None
            }
        )

    async def find(self, key: StreamKey) -> StreamOrigin | None:
        """Find who began a stream, and ask its holders where it is not known here.

        Returns:
            None if no gateway that answers in time knows, or too many are asked.
        """
        origin = find_origin(self.table, key, self._clock())
        if origin is None:
            origin = await self._ask_holders(key)
        if origin is None:
            self.counts.unknown += 1
        return origin

    async def find_kept(self, key: StreamKey) -> StreamOrigin | None:
        """Find in the store who began a stream that no gateway knows.

        Returns:
            None if the store does not say.
        """
        self.counts.looked_up += 1
        await self._kept.look()
        return find_origin(self.table, key, self._clock())

    def _keep(self, origins: dict[StreamKey, StreamOrigin]) -> None:
        """Have origins written to the store: by the relay, as each call is paid."""
        if not origins:
            return
        relay = self._peers.choice.relay
        if self._peers.is_relay or not self._link.can_send(relay):
            for key, origin in origins.items():
                self._kept.note(key, origin)
            return
        # At once, as a gateway may die at any time.
        tells = [make_tell(key, origin) for key, origin in origins.items()]
        self._send_tells(relay, tells, Keeps)
        handed = {key: HandedOrigin(o, relay) for key, o in origins.items()}
        self._handed.update(handed)
        limit_s = WRITTEN_LIMIT_S + self._kept.find_relay_s()
        loop = asyncio.get_running_loop()
        loop.call_later(limit_s, self._keep_unwritten, handed)

    def _keep_unwritten(self, handed: dict[StreamKey, HandedOrigin]) -> None:
        """Write what the relay has not written: it may be out of step, or dead."""
        unwritten = [key for key, one in handed.items() if self._handed.get(key) is one]
        for key in unwritten:
            del self._handed[key]
            self._kept.note(key, handed[key].origin)
        if unwritten:
            relay = handed[unwritten[0]].relay
            count = len(unwritten)
            self._log("relay has not written origins", relay=relay, count=count)

    def _tell_written(self, keys: list[StreamKey]) -> None:
        """Tell those that handed origins over that the store has them."""
        written: dict[str, list[StreamKey]] = {}
        for key in keys:
            name = self._handed_by.pop(key, None)
            if name is not None:
                written.setdefault(name, []).append(key)
        for name, told in written.items():
            for first in range(0, len(told), MOST_TELLS):
                self._link.send(name, Written(told[first : first + MOST_TELLS]))

    def _note_running(self, key: StreamKey, origin: StreamOrigin) -> None:
        self._running[key] = origin
        while len(self._running) > MOST_RUNNING:
            del self._running[next(iter(self._running))]

    def _take_kept(self, key: StreamKey, origin: StreamOrigin) -> None:
        """Take over an origin that the store holds, unless it is known."""
        if find_origin(self.table, key, self._clock()) is None:
            self._note(key, _share_names(origin), STORE)

    async def _ask_holders(self, key: StreamKey) -> StreamOrigin | None:
        ask = self._asks.get(key) or self._begin_ask(key)
        if ask is None:
            return None
        # The others wait on when one of those that find the same stream is cancelled.
        return await asyncio.shield(ask.found)

    def _begin_ask(self, key: StreamKey) -> PendingAsk | None:
        if len(self._asks) >= MOST_ASKS:
            return None
        heard = set(list_heard(self._peers))
        names = choose_asked(key, list(self._peers.members), heard)
        if not names:
            return None
        expected = heard.intersection(names) or set(names)
        ask = PendingAsk(next(self._numbers) & MAX_NUMBER, key, names, expected)
        self.counts.asked += 1
        self._asks[key] = self._asks_by_number[ask.number] = ask
        loop = asyncio.get_running_loop()
        ask.timers.append(loop.call_later(ASK_AGAIN_S, self._send_ask, ask))
        ask.timers.append(loop.call_later(ASK_LIMIT_S, self._end_ask, ask, None))
        self._send_ask(ask)
        return ask

    def _send_ask(self, ask: PendingAsk) -> None:
        for name in ask.silent:
            self._link.send(name, Ask(ask.number, ask.key))

    def _end_ask(self, ask: PendingAsk, origin: StreamOrigin | None) -> None:
        del self._asks[ask.key]
        del self._asks_by_number[ask.number]
        for timer in ask.timers:
            timer.cancel()
        if not ask.found.done():
            ask.found.set_result(origin)

    def _take(self, sender: str, message: Message) -> None:
        match message:
            case Tells():
                self._take_tells(sender, message)
            case Keeps():
                self._take_keeps(sender, message)
            case Written():
                self._note_written(sender, message)
            case Ask():
                self._answer(sender, message)
            case Answer():
                self._take_answer(sender, message)

    def _take_tells(self, sender: str, message: Tells) -> None:
        for tell in message.tells:
            self._learn(sender, tell)

    def _take_keeps(self, sender: str, message: Keeps) -> None:
        """Write what a gateway of this one's group has noted."""
        for tell in message.tells:
            key = StreamKey(tell.key)
            self._handed_by[key] = sender
            self._kept.note(key, _share_names(read_tell(tell)))
        while len(self._handed_by) > MOST_UNWRITTEN:
            del self._handed_by[next(iter(self._handed_by))]

    def _note_written(self, sender: str, message: Written) -> None:
        """Take note that the relay has written what it was handed."""
        for key in map(StreamKey, message.keys):
            one = self._handed.get(key)
            if one is not None and one.relay == sender:
                del self._handed[key]

    def _answer(self, sender: str, ask: Ask) -> None:
        key = StreamKey(ask.key)
        origin = find_origin(self.table, key, self._clock())
        told = None if origin is None else make_tell(key, origin)
        self._link.send(sender, Answer(ask.number, told))

    def _take_answer(self, sender: str, answer: Answer) -> None:
        """Take an answer in; those to asks that are over may be late or forged."""
        ask = self._asks_by_number.get(answer.number)
        if ask is None or sender not in ask.silent:
            return
        if answer.told is not None and answer.told.key == ask.key:
            self._learn(sender, answer.told)
            return
        ask.silent.remove(sender)
        ask.expected.discard(sender)
        if not ask.expected:
            self._end_ask(ask, None)

    def _learn(self, sender: str, tell: Tell) -> None:
        """Take over what another gateway tells, and end an ask for it."""
        key = StreamKey(tell.key)
        origin = _share_names(read_tell(tell))
        self._note(key, origin, sender)
        ask = self._asks.get(key)
        if ask is not None:
            self._end_ask(ask, find_origin(self.table, key, self._clock()))

    def _note(self, key: StreamKey, origin: StreamOrigin, teller: str) -> bool:
        """Note an origin; whether no other one is known."""
        if note_origin(self.table, key, origin, self._clock()):
            return True
        self.counts.conflicts += 1
        if teller not in self._conflicting:
            self._conflicting.add(teller)
            self._log("stream has another origin", teller=teller, stream=key.hex())
        return False

    def _queue(self, name: str, tell: Tell) -> None:
        if not self._untold:
            loop = asyncio.get_running_loop()
            loop.call_later(TELL_DELAY_S, self._tell_all)
        self._untold.setdefault(name, []).append(tell)

    def _tell_all(self) -> None:
        untold, self._untold = self._untold, {}
        for name, tells in untold.items():
            self._send_tells(name, tells, Tells)

    def _send_tells(
        self, name: str, tells: list[Tell], kind: type[Tells] | type[Keeps]
    ) -> None:
        for first in range(0, len(tells), MOST_TELLS):
            self._link.send(name, kind(tells[first : first + MOST_TELLS]))


def _share_names(origin: StreamOrigin) -> StreamOrigin:
    """Keep one copy of each name, as thousands of origins share them."""
    return StreamOrigin(
        sys.intern(origin.service),
        sys.intern(origin.software_version),
        sys.intern(origin.lifetime),
        origin.opened_ms,
    )
