"""Bound of a deployment on retries."""

import typing

_USABLE_SHARE = 0.75
_SHARE_OF_A_LEVEL = 1 / 3
_SLACK_SHARE = 0.3


class RetryBounds(typing.NamedTuple):
    """Bound on the retries of each service in a window, over all nodes.

    Calls that a retried run makes count as retries, too.

    Attributes:
        window_s: Length of the window.
        ratio: Retries of a service as a share of its requests.
        slack: Retries beyond the ratio.
    """

    window_s: float = 10.0
    ratio: float = 0.2
    slack: float = 50.0

    @property
    def usable_ratio(self) -> float:
        """The part of the ratio that nodes use; the rest covers estimates."""
        return self.ratio * _USABLE_SHARE

    @property
    def level_ratio(self) -> float:
        """The share of a target's runs that retries may be.

        Several levels of nested calls can have retries of their own.
        """
        return self.ratio * _SHARE_OF_A_LEVEL

    @property
    def usable_slack(self) -> float:
        """The part of the slack that callers' nodes use.

        Gates use the same, and nested calls of what they admit the rest.
        """
        return self.slack * _SLACK_SHARE
