"""Why placement chooses a target or passes it over."""

import enum


class Verdict(enum.StrEnum):
    """Why a target is chosen or passed over; the first that applies."""

    LOWEST_COST = "lowest-cost"
    NEARLY_LOWEST_COST = "nearly-lowest-cost"
    HIGHER_COST = "higher-cost"
    TOO_FAR = "other-region-costs-too-much"
    TOO_LATE = "answer-would-be-too-late"
    REFUSING = "has-just-refused-this-route"
    EJECTED = "ejected-after-a-failed-connection"
    NOT_CONNECTED = "no-link"
    LEAVING = "leaving"
