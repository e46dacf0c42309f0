"""One fault of a run."""

import enum
import typing


class Kind(enum.Enum):
    """Kind of a fault."""

    KILL = "kill"
    PAUSE = "pause"
    STOP = "stop"
    RELOAD = "reload"
    PEERS_SILENT = "peers-silent"
    PEERS_ONE_WAY = "peers-one-way"
    PEERS_DELAY = "peers-delay"
    PEERS_RESET = "peers-reset"
    STORE_SILENT = "store-silent"
    STORE_REFUSE = "store-refuse"
    STORE_RESET = "store-reset"
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    STORE_LOSES = "store-loses"
    STORE_FORGETS = "store-forgets"
    TARGET_CRASH = "target-crash"
    TARGET_LEAVE = "target-leave"
    CONFIG = "config"
    CONFIG_STORM = "config-storm"
    HERD = "herd"
    STORE_RESTORED = "store-restored"
    DRIVER_PAUSE = "driver-pause"
    READERS_SILENT = "readers-silent"
    STORE_LAGS = "store-lags"
    READERS_UNANSWERED = "readers-unanswered"


PLANNED = frozenset(
    {
        Kind.STOP,
        Kind.RELOAD,
        Kind.TARGET_LEAVE,
        Kind.CONFIG,
        Kind.CONFIG_STORM,
    }
)
"""Planned operator actions; they must not fail any call."""


OF_ROLLOUTS = frozenset({Kind.STORE_RESTORED, Kind.DRIVER_PAUSE})
"""Faults of runs with a rollout and a store that is restored."""


OF_READERS = frozenset(
    {Kind.READERS_SILENT, Kind.READERS_UNANSWERED, Kind.STORE_LAGS}
)
"""Faults after which a change is in force later, but not at the end only."""


OF_ONE_NODE = frozenset(
    {
        Kind.KILL,
        Kind.PAUSE,
        Kind.STOP,
        Kind.PEERS_SILENT,
        Kind.PEERS_ONE_WAY,
        Kind.PEERS_DELAY,
        Kind.PEERS_RESET,
        Kind.STORE_SILENT,
        Kind.STORE_REFUSE,
    }
)
"""Faults that disrupt one node only."""


OF_PART_OF_STORE = OF_READERS | {Kind.STORE_FORGETS}
"""Faults beside which the store goes on serving, but not in full."""


HARMLESS = frozenset(
    {
        Kind.RELOAD,
        Kind.CONFIG,
        Kind.CONFIG_STORM,
        Kind.TARGET_CRASH,
        Kind.TARGET_LEAVE,
    }
)
"""Faults that disrupt neither a node nor the store."""


class Fault(typing.NamedTuple):
    """One fault of a run.

    Attributes:
        at_s: Start time, in seconds from the start of the load.
        kind: Kind of the fault.
        node: Index of the affected node or target.
        for_s: Duration in seconds.
    """

    at_s: float
    kind: Kind
    node: int
    for_s: float
