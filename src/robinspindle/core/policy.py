"""Which of the decisions about engines are in force.

Each can be switched off by itself, to see what it is worth where one serves, or to get
rid of it in an emergency without a new version.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class Policy:
    """The switches; all are on unless the settings say otherwise.

    Attributes:
        learns_paces: Readings change what is believed of the engines' paces.
        follows_ranks: What has a higher rank is read before what has a lower one.
        serves_late: What can't be in time is sent after all that can; else refused.
        limits_reading: Engines that generate read no more than the pauses of the
            answers beside it allow.
        gathers_long: Long answers are hosted together.
        counts_held_up: A plan also counts for what waits behind it.
        fetches_parts: Parts that another engine's cache holds are fetched.
        varies_choices: Choices vary at random by the age of what is known.
        notices_silence: Targets that fall silent are left.
        tells_caches: Who starts is told what caches hold.
        rests_longer: A target that turns requests away rests longer each time.
        gives_turns: Lengths of prompts that are served too seldom are due a turn.
        changes_roles: Engines are ordered to change their roles.
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
