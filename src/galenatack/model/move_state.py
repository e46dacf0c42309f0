"""The state of a move, as stored in its table row."""

import typing


class MoveState(typing.NamedTuple):
    """The state of a move, as stored in its table row.

    Attributes:
        move_id: Identifier of the move.
        service: Service that is moved.
        from_version: Old target version.
        to_version: New target version.
        started_ms: Start, wall clock in milliseconds.
        by_ms: Promised time, wall clock in milliseconds.
        phase: `running`, `done` or `taken_back`.
        share_permille: Share of the service's calls that go to the new
            version.
        active_targets: Number of new targets that get calls; 0 means all.
        step: Index of the current step.
        reason: Reason of the verdict, one sentence.
        figures: Names and values of the figures behind the verdict.
        warm_until_ms: Time until which the old version stays warm, wall clock
            in milliseconds.
    """

    move_id: str
    service: str
    from_version: str
    to_version: str
    started_ms: int
    by_ms: int
    phase: str
    share_permille: int
    active_targets: int
    step: int
    reason: str = ""
    figures: tuple[tuple[str, float], ...] = ()
    warm_until_ms: int = 0
