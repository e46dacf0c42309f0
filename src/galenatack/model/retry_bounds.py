"""Bound of a deployment on retries."""

import typing

_USABLE_SHARE = 0.75
"""Share of the ratio for retries and their descendants. The rest covers that
nodes estimate which of their calls are descendants."""

_LEVEL_SHARE = 1 / 3
"""Share of the ratio for the retries of one service, which leaves room for
retries of the services that it calls."""

_SLACK_SHARE = 0.3
"""Share of the slack for callers' nodes, and as much for gates, which admit
retries that have descendants."""


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
        """Retries and their descendants as a share of a node's calls."""
        return self.ratio * _USABLE_SHARE

    @property
    def level_ratio(self) -> float:
        """Retries as a share of a target's runs."""
        return self.ratio * _LEVEL_SHARE

    @property
    def usable_slack(self) -> float:
        """Retries beyond the ratio, of all callers' nodes or all gates."""
        return self.slack * _SLACK_SHARE
