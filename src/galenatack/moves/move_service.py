"""Operator interface of moves: start, cancel and read the verdict."""

from galenatack import exceptions
from galenatack.config import effective_choice
from galenatack.config import entry_codec
from galenatack.config import profile_codec
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.invariants import verdict_once
from galenatack.model import move_phase
from galenatack.model import move_state
from galenatack.model import row_check
from galenatack.model import service_choice
from galenatack.moves import move_writer
from galenatack.moves import plan

MIN_DURATION_MS = 40_000
ID_BITS = 32


class MoveService:
    """Starts and cancels moves; of concurrent writes the first one wins."""

    def __init__(
        self,
        *,
        writer: move_writer.MoveWriter,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
    ):
        self._writer = writer
        self._clock = clock
        self._rng = rng

    async def start(
        self,
        service: str,
        *,
        to_version: str,
        by_ms: int,
        active_targets: int = 1,
    ) -> move_state.MoveState:
        """Starts a move.

        Args:
            service: Name of the service.
            to_version: New target version.
            by_ms: Promised time, wall clock in milliseconds.
            active_targets: New targets that take calls in the first step.

        Raises:
            exceptions.NotFoundError: The service has no choice, or its
                profile does not know the version.
            exceptions.MoveError: The duration is too short or the service
                already runs the version.
            exceptions.MoveActiveError: The service has an open move.
            exceptions.PlatformError: The table did not answer.
        """
        choice, choice_revision = await self._read_choice(service)
        profile_check = await self._check_version(choice, to_version)
        move, revision = await self._read_move(service)
        if move is not None and _is_running(move):
            raise _active_error(service, move)
        state = self._new_state(choice, to_version, by_ms, active_targets)
        checks = (
            row_check.RowCheck(f"entry/move/{service}", revision),
            row_check.RowCheck(f"entry/service/{service}", choice_revision),
            profile_check,
        )
        try:
            await self._writer.write_move(state, checks=checks)
        except exceptions.TransactionConflictError:
            winner, _ = await self._read_move(service)
            if winner is not None and _is_running(winner):
                raise _active_error(service, winner) from None
            raise
        return state

    async def cancel(
        self, service: str, *, reason: str = "cancelled by an operator"
    ) -> move_state.MoveState:
        """Takes the traffic back, unless the verdict is already written.

        Raises:
            exceptions.NotFoundError: The service has no move.
            exceptions.MoveFinishedError: The move has its verdict.
            exceptions.PlatformError: The table did not answer.
        """
        first, _ = await self._require_move(service)
        while True:
            move, revision = await self._require_move(service)
            if move.move_id != first.move_id or not _is_running(move):
                raise exceptions.MoveFinishedError(
                    f"the move of {service} has its verdict: {move.phase}",
                    verdict=move.phase,
                )
            state = move._replace(
                phase=str(move_phase.MovePhase.TAKEN_BACK),
                share_permille=0,
                reason=reason,
                warm_until_ms=max(move.warm_until_ms, move.by_ms),
            )
            verdict_once.check(move, state)
            check = row_check.RowCheck(f"entry/move/{service}", revision)
            try:
                await self._writer.write_move(state, checks=(check,))
            except exceptions.TransactionConflictError:
                continue
            return state

    async def verdict(self, service: str) -> move_state.MoveState:
        """Returns the state stored in the table.

        Raises:
            exceptions.NotFoundError: The service has no move.
            exceptions.PlatformError: The verdict cannot be read yet.
        """
        move, _ = await self._require_move(service)
        return move

    def _new_state(
        self,
        choice: service_choice.ServiceChoice,
        to_version: str,
        by_ms: int,
        active_targets: int,
    ) -> move_state.MoveState:
        now_ms = self._clock.wall_ms()
        if by_ms - now_ms < MIN_DURATION_MS:
            raise exceptions.MoveError(
                f"a move needs {MIN_DURATION_MS // 1000} s, the promised"
                f" time is in {max(0, by_ms - now_ms) // 1000} s"
            )
        if to_version == choice.version:
            raise exceptions.MoveError(
                f"{choice.service} already runs {to_version}"
            )
        number = self._rng.getrandbits(ID_BITS)
        return move_state.MoveState(
            move_id=f"{choice.service}-{now_ms}-{number:08x}",
            service=choice.service,
            from_version=choice.version,
            to_version=to_version,
            started_ms=now_ms,
            by_ms=by_ms,
            phase=str(move_phase.MovePhase.RUNNING),
            share_permille=plan.STEPS_PERMILLE[0],
            active_targets=active_targets,
            step=0,
        )

    async def _read_choice(
        self, service: str
    ) -> tuple[service_choice.ServiceChoice, int]:
        found = await self._writer.read_entry(f"service/{service}")
        if found is None:
            raise exceptions.NotFoundError(f"no service {service}")
        entry, revision = found
        move_entry = await self._writer.read_entry(f"move/{service}")
        choice = effective_choice.effective_choice(
            entry, move_entry[0] if move_entry else None
        )
        return choice, revision

    async def _check_version(
        self, choice: service_choice.ServiceChoice, version: str
    ) -> row_check.RowCheck:
        """Returns a check that the profile is unchanged and has the version."""
        key = f"profile/{choice.profile}"
        found = await self._writer.read_entry(key)
        if found is None:
            raise exceptions.NotFoundError(f"no profile {choice.profile}")
        entry, revision = found
        if version not in profile_codec.parse(entry.body).versions:
            raise exceptions.NotFoundError(
                f"profile {choice.profile} does not know version {version};"
                " publish it with that version first"
            )
        return row_check.RowCheck(f"entry/{key}", revision)

    async def _read_move(
        self, service: str
    ) -> tuple[move_state.MoveState | None, int]:
        found = await self._writer.read_entry(f"move/{service}")
        if found is None:
            return None, 0
        entry, revision = found
        return entry_codec.parse_move(entry.body), revision

    async def _require_move(
        self, service: str
    ) -> tuple[move_state.MoveState, int]:
        move, revision = await self._read_move(service)
        if move is None:
            raise exceptions.NotFoundError(f"{service} has no move")
        return move, revision


def _is_running(move: move_state.MoveState) -> bool:
    return move.phase == move_phase.MovePhase.RUNNING


def _active_error(
    service: str, move: move_state.MoveState
) -> exceptions.MoveActiveError:
    return exceptions.MoveActiveError(
        f"{service} already moves to {move.to_version} ({move.move_id})"
    )
