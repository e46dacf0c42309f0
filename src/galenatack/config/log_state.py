"""The configuration entries that a node holds and runs."""

import collections
import collections.abc
import types

from galenatack.config import row_keys
from galenatack.invariants import atomic_apply
from galenatack.invariants import version_order
from galenatack.messages import delta as delta_message
from galenatack.model import entry

RejectionReason = collections.abc.Callable[
    [entry.Entry, collections.abc.Mapping[str, entry.Entry]], str
]


class LogState:
    """Held and running entries of one node.

    A held delta is kept as one step until it runs. The running state always
    ends at a step boundary: the entries of a delta are compacted, so the
    state at a seq inside a delta is incomplete.

    Args:
        node_id: Node that owns the state, for violations.
        rejection_reason: Called with an entry and the entries by key that
            would run; returns why the node cannot run the entry, or an empty
            string.

    Attributes:
        held_seq: Highest seq that the node holds.
        running_seq: Highest seq that the node runs.
        pull_seq: Seq from which to request more; ahead of the held seq while
            a large state arrives in parts.
        rejected: Reasons by (key, version) of the entries that the node
            could not run.
    """

    def __init__(
        self, *, node_id: str, rejection_reason: RejectionReason | None = None
    ):
        self._node_id = node_id
        self._rejection_reason = rejection_reason or (
            lambda item, candidate: ""
        )
        self._held: dict[str, entry.Entry] = {}
        self._running: collections.abc.Mapping[str, entry.Entry] = (
            types.MappingProxyType({})
        )
        self._steps: collections.deque[tuple[int, tuple[entry.Entry, ...]]] = (
            collections.deque()
        )
        self.held_seq = 0
        self.running_seq = 0
        self.rejected: dict[tuple[str, int], str] = {}
        self._parts: dict[str, entry.Entry] = {}
        self._parts_seq = 0
        self._parts_of_seq = 0

    @property
    def pull_seq(self) -> int:
        """Seq from which to request more."""
        return max(self.held_seq, self._parts_seq)

    def hold(self, delta: delta_message.Delta) -> bool:
        """Stores a delta without running it.

        Returns:
            True if the held seq has advanced; False if the delta has nothing
            new, starts after the held seq, or is an incomplete part of a
            large state.
        """
        if delta.to_seq <= self.held_seq:
            return False
        if delta.parts_of_seq:
            self._store_part(delta)
            return False
        entries = {item.key: item for item in delta.entries}
        if delta.from_seq > self.held_seq:
            if not self._completes_parts(delta):
                return False
            entries = {**self._parts, **entries}
        self._hold_step(delta.to_seq, entries)
        return True

    def drop_parts(self) -> None:
        """Discards the received parts of a large state."""
        self._parts.clear()
        self._parts_seq = 0
        self._parts_of_seq = 0

    def delta_since(
        self, seq: int, *, max_bytes: int | None = None
    ) -> delta_message.Delta:
        """Returns the latest entry of each key that changed after `seq`.

        Args:
            seq: Seq that the receiver holds.
            max_bytes: Limit on the total size of the bodies. A larger delta
                is cut to a part with as many entries as fit, but at least
                one.
        """
        changed = sorted(
            (item for item in self._held.values() if item.seq > seq),
            key=lambda item: item.seq,
        )
        kept = _prefix_within(changed, max_bytes)
        if len(kept) == len(changed):
            return delta_message.Delta(seq, self.held_seq, tuple(kept), None)
        return delta_message.Delta(
            seq, kept[-1].seq, tuple(kept), None, self.held_seq
        )

    def _store_part(self, delta: delta_message.Delta) -> None:
        if delta.from_seq <= self.pull_seq < delta.to_seq:
            self._parts.update({item.key: item for item in delta.entries})
            self._parts_seq = delta.to_seq
            self._parts_of_seq = max(self._parts_of_seq, delta.parts_of_seq)

    def _completes_parts(self, delta: delta_message.Delta) -> bool:
        """Returns whether a delta and the parts make a complete state.

        A part lacks entries that have newer versions up to its sender's held
        seq. Only a delta that reaches at least that seq contains all of them.
        """
        follows = delta.from_seq <= self._parts_seq
        return follows and delta.to_seq >= self._parts_of_seq

    def _hold_step(self, seq: int, entries: dict[str, entry.Entry]) -> None:
        new_entries = tuple(
            item for item in entries.values() if self.held_seq < item.seq <= seq
        )
        self._held.update({item.key: item for item in new_entries})
        self._steps.append((seq, new_entries))
        self.held_seq = seq
        self.drop_parts()

    def held_entry(self, key: str) -> entry.Entry | None:
        """Returns the latest held entry of a key."""
        return self._held.get(key)

    def merge_steps(self) -> None:
        """Merges all held steps that do not run yet into one.

        After a restart, single steps may end before the seq that this node
        ran before the restart.
        """
        end_seq, latest = self._pop_steps_up_to(self.held_seq)
        if latest or end_seq > self.running_seq:
            self._steps.append((end_seq, tuple(latest.values())))

    def run_up_to(self, seq: int) -> tuple[entry.Entry, ...]:
        """Runs all held steps that end at or before `seq`, as one step.

        Returns:
            The entries that now run; empty if there is no such step or all
            entries were rejected.
        """
        target_seq, latest = self._pop_steps_up_to(seq)
        if target_seq == self.running_seq:
            return ()
        rejected = self._rejected_keys(latest)
        applied = tuple(
            item for item in latest.values() if item.key not in rejected
        )
        new = dict(self._running)
        new.update({item.key: item for item in applied})
        self._check(target_seq, latest, rejected, new)
        self._running = types.MappingProxyType(new)
        self.running_seq = target_seq
        return applied

    def running(self) -> collections.abc.Mapping[str, entry.Entry]:
        """Returns the running entries by key, as an immutable snapshot."""
        return self._running

    def next_step_seq(self, seq: int) -> int:
        """Returns the running seq after a call of `run_up_to(seq)`."""
        ends = [end for end, _ in self._steps if end <= seq]
        return ends[-1] if ends else self.running_seq

    def _pop_steps_up_to(self, seq: int) -> tuple[int, dict[str, entry.Entry]]:
        target_seq = self.running_seq
        latest: dict[str, entry.Entry] = {}
        while self._steps and self._steps[0][0] <= seq:
            target_seq, entries = self._steps.popleft()
            latest.update({item.key: item for item in entries})
        return target_seq, latest

    def _rejected_keys(self, latest: dict[str, entry.Entry]) -> frozenset[str]:
        candidate = {**self._running, **latest}
        rejected = set()
        # Profiles come first, so that a choice is checked against the
        # profile that will run and not against a rejected one.
        for key in sorted(latest, key=_profiles_first):
            item = latest[key]
            reason = self._rejection_reason(item, candidate)
            if not reason:
                continue
            rejected.add(key)
            self.rejected[key, item.version] = reason
            candidate.pop(key)
            if key in self._running:
                candidate[key] = self._running[key]
        return frozenset(rejected)

    def _check(
        self,
        target_seq: int,
        latest: dict[str, entry.Entry],
        rejected: frozenset[str],
        new: dict[str, entry.Entry],
    ) -> None:
        version_order.check(
            node_id=self._node_id,
            old_seq=self.running_seq,
            new_seq=target_seq,
            old=self._running,
            new=new,
        )
        atomic_apply.check(
            node_id=self._node_id,
            step=latest.values(),
            rejected=rejected,
            old=self._running,
            new=new,
        )


def _profiles_first(key: str) -> tuple[bool, str]:
    return (not key.startswith(row_keys.PROFILE), key)


def _prefix_within(
    entries: list[entry.Entry], max_bytes: int | None
) -> list[entry.Entry]:
    if max_bytes is None:
        return entries
    size_bytes = 0
    for index, item in enumerate(entries):
        size_bytes += len(item.body)
        if index and size_bytes > max_bytes:
            return entries[:index]
    return entries
