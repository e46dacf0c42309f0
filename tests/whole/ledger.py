"""Record of what targets ran and callers received, with its checks."""

import collections

import anyio

from galenatack.invariants import bad_version
from galenatack.invariants import leaving
from galenatack.model import call_result


class Ledger:
    """Records calls across all incarnations of all nodes.

    Attributes:
        starts: Call ids that started at a target, by idempotency key.
        results: Outcomes returned to callers, by idempotency key.
        calls: Calls that arrived at targets, by version.
        outcomes: Results returned to callers, by "outcome failure".
        wrong: Violations found, each with the number of its invariant.
    """

    def __init__(self):
        self.starts: dict[str, list[str]] = collections.defaultdict(list)
        self.results: dict[str, list[str]] = collections.defaultdict(list)
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.calls: collections.Counter[str] = collections.Counter()
        self.wrong: list[str] = []
        self._left_s: dict[str, float] = {}

    def note_left(self, incarnation_id: str) -> None:
        """Records that a target announced that it is leaving."""
        self._left_s[incarnation_id] = anyio.current_time()

    def note_call(
        self,
        incarnation_id: str,
        call_id: str,
        version: str,
        withdrawn_s: float | None,
    ) -> None:
        """Checks a call that arrived at a target.

        Args:
            incarnation_id: Node id and start time, as `node_id/wall_ms`.
            call_id: Id of the call.
            version: Version of the target.
            withdrawn_s: Time at which the node learnt that its version was
                withdrawn, in seconds; None if it was not.
        """
        now_s = anyio.current_time()
        self.calls[version] += 1
        left_s = self._left_s.get(incarnation_id)
        if left_s is not None and now_s - left_s > leaving.LEAVE_BOUND_S:
            self.wrong.append(
                f"8: {call_id} at {incarnation_id}, left at {left_s:.3f}"
            )
        bound_s = bad_version.WITHDRAWAL_BOUND_S
        if withdrawn_s is not None and now_s - withdrawn_s > bound_s:
            self.wrong.append(
                f"4: {call_id} at {incarnation_id},"
                f" withdrawn at {withdrawn_s:.3f}"
            )

    def note_start(self, key: str, call_id: str) -> None:
        """Records the start of a posting."""
        self.starts[key].append(call_id)
        if len(self.starts[key]) > 1:
            self.wrong.append(f"7: {key} started as {self.starts[key]}")

    def note_result(
        self, key: str, expected: bytes, result: call_result.CallResult
    ) -> None:
        """Records and checks a result; `key` is empty for a read."""
        self.outcomes[f"{result.outcome} {result.failure}".strip()] += 1
        if (
            result.outcome == "answer"
            and result.status < 500
            and result.body != expected
        ):
            self.wrong.append(f"5: {expected!r} was answered {result.body!r}")
        if key:
            self.results[key].append(result.outcome)

    def note_end(self) -> None:
        """Compares results with starts, once all calls have ended."""
        for key, outcomes in self.results.items():
            ran = len(self.starts.get(key, ()))
            if set(outcomes) == {"not-run"} and ran:
                self.wrong.append(f"6: {key} ran and was told {outcomes}")
            if "answer" in outcomes and ran != 1:
                self.wrong.append(f"7: {key} answered, started {ran} times")
