"""How fast an engine prefills: the model of its service and role, and its slowness.

The slowness of one engine is learnt from the times of its prefills: by each gateway
alone, or by all together (`core/targetspeeds.py`). The model is shared by all engines
of the same service and role.
"""

import math
from collections.abc import Iterable

from robinspindle.core import prefillmodel, targetspeeds
from robinspindle.core.engines import Engine
from robinspindle.core.prefillmodel import PrefillModel, PrefillSample

SLOWNESS_SMOOTHING = 0.2
"""Weight of the latest sample in an engine's slowness: about the last five count, so
that a slow engine is detected within a second."""

SLOWNESS_BOUNDS = (0.25, 16.0)
"""Bounds of the ratio of measured to estimated time that one sample gives: beyond them,
the prefill had to wait."""

UNKNOWN_CACHE_S = 10.0
"""Time after the start of a gateway during which engines whose cache contents it hasn't
received give no samples, seconds: the parts that matter have been placed again by
then."""

QUEUED_SMOOTHING = 0.05
QUEUED_BOUNDS = (0.5, 2.0)
"""Weight of a sample whose prefill waited for others, and bounds of its ratio of
measured to planned time."""

SHARED_BOUNDS = (0.25, 4.0)
"""Bounds of the shared slowness and of its samples. One that took longer met a silence
as well, and an engine that gets no prompts could not show that it has recovered."""

MIN_WORK_SHARE = 0.2
"""Least share of the modelled work that a sample shows: the network may have been
faster than usual."""

QUEUED_WEIGHT = 0.5
"""Weight of such a sample in the shared estimate: others' prefills are in it too."""


def estimate_prefill_s(engine: Engine, new: float, context: float) -> float:
    """Estimate the prefill time of new tokens after cached ones, seconds."""
    model = engine.prefill_model
    model_s = prefillmodel.estimate_seconds(model, new, context)
    if engine.scales_base:
        return model_s * engine.slowness
    busy_s = prefillmodel.estimate_busy_s(model, new, context)
    return model_s - busy_s + busy_s * engine.slowness


def estimate_busy_s(engine: Engine, new: float, context: float) -> float:
    """Estimate the time that the prefill of new tokens occupies an engine, seconds."""
    return (
        prefillmodel.estimate_busy_s(engine.prefill_model, new, context)
        * engine.slowness
    )


def is_useful_sample(engine: Engine, up_s: float) -> bool:
    """Return whether a prefill time may be used as a sample of an engine's speed.

    A gateway that has just started doesn't know what the caches hold. Parts of a prompt
    that seem to be prefilled may be cached already, above all after a caller retry. The
    engine then looks many times as fast as it is, and all prompts are prefilled on
    decode engines.

    Args:
        engine: The engine.
        up_s: Time since this gateway started, seconds.
    """
    return engine.is_cache_known or up_s >= UNKNOWN_CACHE_S


def note_unqueued_prefill(engine: Engine, measured: PrefillSample) -> None:
    """Record the time of a prefill that didn't wait for others."""
    model_s = prefillmodel.estimate_seconds(
        engine.prefill_model, measured.new, measured.context
    )
    if model_s <= 0:
        return
    engine.scales_base = True
    low, high = SLOWNESS_BOUNDS
    ratio = min(high, max(low, measured.seconds / model_s))
    # The slowness of this one engine is removed from the sample for the shared model.
    normalized = PrefillSample(
        measured.new, measured.context, measured.seconds / engine.slowness
    )
    prefillmodel.note_sample(engine.prefill_model, normalized)
    engine.slowness += SLOWNESS_SMOOTHING * (ratio - engine.slowness)


def note_prefill_done(engine: Engine, measured: PrefillSample, was_alone: bool) -> None:
    """Record the time of a prefill that may have waited for others.

    If it waited and took longer than estimated, it is no sample. If it took less than
    estimated, it is one: the engine is faster than the model says. Under constant load
    no prefill ever has the engine to itself, so without such samples nothing would be
    learnt.

    Args:
        engine: The engine.
        measured: The sample.
        was_alone: Whether no other prefill was at the engine meanwhile.
    """
    expected_s = estimate_prefill_s(engine, measured.new, measured.context)
    if was_alone or measured.seconds < expected_s:
        note_unqueued_prefill(engine, measured)


def note_queued_prefill(engine: Engine, seconds: float, planned_s: float) -> None:
    """Record the time of a prefill including its wait, compared with the planned time.

    Under constant load every prefill waits, and an engine that became slow would look
    like all others. The time includes prefills that others placed meanwhile, so each
    sample has a low weight.

    Args:
        engine: The engine.
        seconds: Measured time without the cache transfer, seconds.
        planned_s: Planned time, seconds.
    """
    if planned_s <= 0:
        return
    low, high = QUEUED_BOUNDS
    ratio = min(high, max(low, seconds / planned_s))
    slowness = engine.slowness * (1.0 + QUEUED_SMOOTHING * (ratio - 1.0))
    least, most = SLOWNESS_BOUNDS
    engine.slowness = min(most, max(least, slowness))


def note_shared_sample(
    engine: Engine,
    measured: PrefillSample,
    now: float,
    was_alone: bool,
    usual_wait_s: float | None,
) -> None:
    """Record the time of a prefill for the estimate that all gateways share.

    A prefill that waited is compared with its planned time, the wait for what others
    placed before it included. It never shows an engine as slower than if it had not
    waited at all.

    Args:
        engine: The engine.
        measured: The sample, without the cache transfer.
        now: The current time, monotonic seconds.
        was_alone: Whether no other prefill was at the engine meanwhile.
        usual_wait_s: Planned wait at an engine whose slowness is 1, seconds; None if
            the wait wasn't planned.
    """
    model = engine.prefill_model
    if measured.new <= 0 or measured.seconds <= 0:
        return
    model_s = prefillmodel.estimate_seconds(model, measured.new, measured.context)
    busy_s = prefillmodel.estimate_busy_s(model, measured.new, measured.context)
    # The time of the network is the same for all engines.
    base_s = model_s - busy_s
    work_s = measured.seconds - base_s
    if was_alone or work_s < busy_s * engine.slowness:
        # What all engines have in common belongs to the model.
        relative = engine.slowness / model.mean_slowness if work_s > 0.0 else 1.0
        normalized = PrefillSample(
            measured.new, measured.context, base_s + work_s / relative
        )
        prefillmodel.note_sample(model, normalized)
    if busy_s <= 0.0 or (usual_wait_s is None and not was_alone):
        return
    ratio, weight = max(MIN_WORK_SHARE, work_s / busy_s), busy_s / model_s
    if not was_alone:
        ratio = min(ratio, max(MIN_WORK_SHARE, work_s / (busy_s + usual_wait_s)))
        weight *= QUEUED_WEIGHT
    ratio = min(ratio, SHARED_BOUNDS[1])
    targetspeeds.note_ratio(engine.speed, ratio, now, weight)
    update_slowness(engine, now)


def update_slowness(engine: Engine, now: float) -> None:
    """Take an engine's slowness from what all gateways have measured."""
    low, high = SHARED_BOUNDS
    ratio = targetspeeds.update_estimate(engine.speed, now)
    engine.slowness = min(high, max(low, ratio))
    engine.scales_base = False


def update_all(engines: Iterable[Engine], now: float) -> None:
    """Update the slowness of engines, and what those of each model have in common."""
    logs: dict[int, list[float]] = {}
    models: dict[int, PrefillModel] = {}
    for engine in engines:
        update_slowness(engine, now)
        key = id(engine.prefill_model)
        models[key] = engine.prefill_model
        logs.setdefault(key, []).append(math.log(engine.slowness))
    for key, model in models.items():
        model.mean_slowness = math.exp(sum(logs[key]) / len(logs[key]))
