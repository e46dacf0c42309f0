"""Finds out whether a target crashed when it lost the answer of a call."""

import asyncio
import collections.abc
import logging

from galenatack.model import crash_entry
from galenatack.quarantine import crash_reports

_LOGGER = logging.getLogger(__name__)

IsReachable = collections.abc.Callable[[], collections.abc.Awaitable[bool]]


class CrashDetector:
    """Holds each crash of the target against the calls that it was running.

    A lost answer alone tells nothing: a target may close one connection. It
    has crashed if it takes no new connection either.

    Args:
        name: Prefix of the identifiers of crashes, unique for each run of the
            node.
        reports: Receives the crashes.
        is_reachable: Returns whether the target accepts a new connection.
    """

    def __init__(
        self,
        *,
        name: str,
        reports: crash_reports.CrashReports,
        is_reachable: IsReachable,
    ):
        self._name = name
        self._reports = reports
        self._is_reachable = is_reachable
        self._crashes = 0
        self._is_down = False
        self._lost: dict[bytes, bool] = {}
        self._check: asyncio.Task[bool] | None = None

    async def has_crashed(
        self, fingerprint: bytes, *, was_suspect: bool
    ) -> bool:
        """Returns whether the target crashed under a call.

        The calls that a crash ends ask at the same moment; they share one
        check, and are reported together.

        Args:
            fingerprint: Fingerprint of the call that lost its answer.
            was_suspect: Whether it ran as a suspect.
        """
        self._lost[fingerprint] = was_suspect or self._lost.get(
            fingerprint, False
        )
        if self._check is None:
            self._check = asyncio.create_task(self._find_out())
        return await asyncio.shield(self._check)

    def note_alive(self) -> None:
        """Notes that the target has answered; the next crash is another one."""
        self._is_down = False

    async def _find_out(self) -> bool:
        try:
            is_reachable = await self._is_reachable()
        finally:
            # Calls that come from here on need a check of their own.
            lost, self._lost = self._lost, {}
            self._check = None
        if is_reachable:
            self._is_down = False
            return False
        if not self._is_down:
            self._is_down = True
            self._crashes += 1
        await self._report(lost)
        return True

    async def _report(self, lost: dict[bytes, bool]) -> None:
        crash_id = f"{self._name}:{self._crashes}"
        _LOGGER.warning(
            "event=target-crashed crash=%s calls=%d", crash_id, len(lost)
        )
        await self._reports.add(
            tuple(
                crash_entry.CrashEntry(
                    fingerprint,
                    crash_id,
                    age_ms=0,
                    was_suspect=was_suspect,
                    is_cleared=False,
                )
                for fingerprint, was_suspect in lost.items()
            )
        )
