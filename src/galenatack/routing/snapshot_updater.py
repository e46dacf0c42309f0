"""Rebuilds the routing snapshot after changes of entries and members."""

import collections.abc

import anyio

from galenatack import exceptions
from galenatack.config import effective_choice
from galenatack.config import entry_codec
from galenatack.config import profile_codec
from galenatack.config import row_keys
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import event_sink
from galenatack.membership import member_table
from galenatack.model import entry as entry_module
from galenatack.model import profile
from galenatack.moves import withdrawals as withdrawals_module
from galenatack.routing import builder
from galenatack.routing import snapshot_holder

# Many simultaneous restarts change the members many times a second. Rebuilding
# after each change would use a whole core at a few thousand members.
MEMBER_REBUILD_INTERVAL_S = 0.1

Running = collections.abc.Callable[
    [], collections.abc.Mapping[str, entry_module.Entry]
]
RetainLoads = collections.abc.Callable[[collections.abc.Set[str]], None]


class SnapshotUpdater:
    """Rebuilds the snapshot after changes; a failed build changes nothing.

    Args:
        running: Returns the entries in force.
        table: Member table.
        withdrawals: Withdrawn versions.
        holder: Receives each new snapshot.
        clock: Source of time.
        events: Records failed builds.
        retain_loads: Called with the live node ids after each build, to remove
            the loads of all other nodes.
    """

    def __init__(
        self,
        *,
        running: Running,
        table: member_table.MemberTable,
        withdrawals: withdrawals_module.Withdrawals,
        holder: snapshot_holder.SnapshotHolder,
        clock: clock_interface.Clock,
        events: event_sink.EventSink,
        retain_loads: RetainLoads = lambda node_ids: None,
    ):
        self._running = running
        self._table = table
        self._withdrawals = withdrawals
        self._holder = holder
        self._clock = clock
        self._events = events
        self._retain_loads = retain_loads
        self._changed = anyio.Event()
        self._profiles: dict[str, tuple[str, profile.Profile]] = {}
        table.subscribe(lambda records: self._changed.set())
        withdrawals.subscribe(lambda message: self.rebuild())

    async def run(self) -> None:
        """Rebuilds the snapshot after member changes until cancelled."""
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            self.rebuild()
            await self._clock.sleep_s(MEMBER_REBUILD_INTERVAL_S)

    def rebuild(self) -> None:
        """Builds a snapshot and puts it in force atomically."""
        entries = self._running()
        live = self._table.live()
        withdrawn = {
            (item.service, item.version, item.move_id)
            for item in self._withdrawals.all()
        }
        try:
            new_snapshot = builder.build(
                profiles=self._all_profiles(entries),
                choices=_choices(entries),
                moves=_moves(entries),
                members=live,
                withdrawn=withdrawn,
                own=self._table.own,
            )
        except exceptions.SnapshotError as error:
            reason = "; ".join(str(error).splitlines())
            self._events.record("snapshot-refused", reason=reason)
            return
        self._holder.swap(new_snapshot)
        self._retain_loads({record.node_id for record in live})

    def _all_profiles(
        self, entries: collections.abc.Mapping[str, entry_module.Entry]
    ) -> list[profile.Profile]:
        """Returns the decoded profiles; unchanged ones are not parsed again."""
        decoded = {}
        for key, entry in entries.items():
            if not key.startswith(row_keys.PROFILE):
                continue
            cached = self._profiles.get(key)
            if cached is None or cached[0] != entry.digest:
                cached = (entry.digest, profile_codec.parse(entry.body))
            decoded[key] = cached
        self._profiles = decoded
        return [value for _, value in decoded.values()]


def _choices(entries):
    return [
        effective_choice.effective_choice(
            entry,
            entries.get(row_keys.MOVE + key.removeprefix(row_keys.SERVICE)),
        )
        for key, entry in entries.items()
        if key.startswith(row_keys.SERVICE)
    ]


def _moves(entries):
    return [
        entry_codec.parse_move(entry.body)
        for key, entry in entries.items()
        if key.startswith(row_keys.MOVE)
    ]
