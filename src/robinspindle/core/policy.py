"""Switches for the decisions about engines and zones.

Each decision can be switched off by itself, to measure its benefit in a deployment or
to disable it in an emergency without a new version.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class Policy:
    """The switches, as they are unless the policy file says otherwise.

    Attributes:
        learns_paces: Measured prefills update the engines' prefill models.
        follows_ranks: Requests of a higher rank are prefilled before those of a lower
            one.
        serves_late: Requests that cannot meet their deadlines are sent after all that
            can; otherwise they are refused.
        limits_reading: Decode engines prefill no more than the pauses of their answers
            allow.
        gathers_long: Long answers are concentrated on few engines.
        counts_held_up: The cost of a plan includes the prompts that are queued behind
            it.
        fetches_parts: Prompt parts in another engine's cache are fetched.
        varies_choices: Choices vary at random, by the age of the known state.
        notices_silence: Requests are taken away from targets that time out.
        tells_caches: Gateways that have just started are sent the contents of caches.
        rests_longer: The backoff of a target that rejects requests grows each time.
        gives_turns: Size classes that are served too seldom keep the priority of their
            rank.
        changes_roles: Engines are ordered to change their roles.
        counts_memory: The cost of a plan includes the wait for memory of its engine.
        shares_speeds: Gateways learn the speed of each engine together.
        weighs_zones: Requests leave the gateway's availability zone by the operator's
            terms, a smoothed share of them; otherwise another zone costs a constant.
        copies_answers: Answers that are worth it have a copy of their KV cache at
            another engine, and go on there after a crash.
        moves_answers: Answers that would outlive an engine that leaves are moved to
            others.
    """

    learns_paces: bool = True
    follows_ranks: bool = True
    serves_late: bool = True
    limits_reading: bool = True
    gathers_long: bool = True
    counts_held_up: bool = True
    fetches_parts: bool = True
    varies_choices: bool = True
    notices_silence: bool = True
    tells_caches: bool = True
    rests_longer: bool = True
    gives_turns: bool = True
    changes_roles: bool = True
    counts_memory: bool = True
    shares_speeds: bool = False
    weighs_zones: bool = False
    copies_answers: bool = False
    moves_answers: bool = False
