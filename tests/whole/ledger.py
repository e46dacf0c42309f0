"""What the targets and the callers saw, and what contradicts it."""

import collections

import anyio

from galenatack.invariants import bad_version
from galenatack.invariants import leaving
from galenatack.model import call_result


class Ledger:
    """Keeps the truth about calls over all lives of all nodes.

    Attributes:
        starts: Call ids that started at a target, by idempotency key.
        told: Results told to callers, by idempotency key.
        calls: Calls that arrived at targets, by version.
        outcomes: Results told, by (outcome, failure).
        wrong: What contradicts an invariant.
    """

    def __init__(self):
        self.starts: dict[str, list[str]] = collections.defaultdict(list)
        self.told: dict[str, list[str]] = collections.defaultdict(list)
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.calls: collections.Counter[str] = collections.Counter()
        self.wrong: list[str] = []
        self._left_s: dict[str, float] = {}

    def note_left(self, life: str) -> None:
        """Notes that a target announced that it leaves."""
        self._left_s[life] = anyio.current_time()

    def note_call(
        self,
        life: str,
        call_id: str,
        version: str,
        withdrawn_s: float | None,
    ) -> None:
        """Checks a call that arrived at a target.

        Args:
            life: Node and incarnation.
            call_id: The call.
            version: Version of the target.
            withdrawn_s: When the target's version was withdrawn there.
        """
        now_s = anyio.current_time()
        self.calls[version] += 1
        left_s = self._left_s.get(life)
        if left_s is not None and now_s - left_s > leaving.LEAVE_BOUND_S:
            self.wrong.append(f"8: {call_id} at {life}, left at {left_s:.3f}")
        bound_s = bad_version.WITHDRAWAL_BOUND_S
        if withdrawn_s is not None and now_s - withdrawn_s > bound_s:
            self.wrong.append(
                f"4: {call_id} at {life}, withdrawn at {withdrawn_s:.3f}"
            )

    def note_start(self, key: str, call_id: str) -> None:
        """Notes the start of a posting."""
        self.starts[key].append(call_id)
        if len(self.starts[key]) > 1:
            self.wrong.append(f"7: {key} started as {self.starts[key]}")

    def note_told(
        self, key: str, expected: bytes, result: call_result.CallResult
    ) -> None:
        """Checks a result; `key` is empty for a read."""
        self.outcomes[f"{result.outcome} {result.failure}".strip()] += 1
        if (
            result.outcome == "answer"
            and result.status < 500
            and result.body != expected
        ):
            self.wrong.append(f"5: {expected!r} was answered {result.body!r}")
        if key:
            self.told[key].append(result.outcome)

    def note_end(self) -> None:
        """Compares what was told with what ran, once all has ended."""
        for key, outcomes in self.told.items():
            ran = len(self.starts.get(key, ()))
            if set(outcomes) == {"not-run"} and ran:
                self.wrong.append(f"6: {key} ran and was told {outcomes}")
            if "answer" in outcomes and ran != 1:
                self.wrong.append(f"7: {key} answered, started {ran} times")
