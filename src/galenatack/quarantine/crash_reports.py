"""Shares crashes with the other nodes."""

from galenatack.interfaces import peer_network
from galenatack.messages import crash_report
from galenatack.model import crash_entry
from galenatack.quarantine import crash_archive
from galenatack.quarantine import crash_ledger

MAX_ENTRIES = 128
"""Entries of one message, about 6 KB."""


class CrashReports:
    """Floods crashes, and that they were cleared, once each.

    Args:
        ledger: Crashes known to this node.
        archive: Keeps the requests in quarantine.
        peers: Links to other nodes.
    """

    def __init__(
        self,
        *,
        ledger: crash_ledger.CrashLedger,
        archive: crash_archive.CrashArchive,
        peers: peer_network.PeerNetwork,
    ):
        self._ledger = ledger
        self._archive = archive
        self._peers = peers
        peers.on(crash_report.CrashReport, self._receive)

    def messages(self) -> tuple[crash_report.CrashReport, ...]:
        """Returns all that a node which knows nothing has to be told."""
        return _messages(self._ledger.entries())

    async def add(self, entries: tuple[crash_entry.CrashEntry, ...]) -> None:
        """Applies crashes of the own target, then floods those not known."""
        news = self._ledger.add(entries)
        for entry in news:
            if self._is_archived(entry.fingerprint):
                self._archive.note(entry.fingerprint)
        await self._flood(news, exclude=None)

    async def clear(self, fingerprint: bytes) -> None:
        """Clears all crashes of a request, here and elsewhere."""
        if self._is_archived(fingerprint):
            self._archive.note(fingerprint)
        await self._flood(self._ledger.clear(fingerprint), exclude=None)

    def _is_archived(self, fingerprint: bytes) -> bool:
        return crash_archive.is_archived(self._ledger.crashes(fingerprint))

    async def _receive(
        self, sender: str, message: crash_report.CrashReport
    ) -> None:
        await self._flood(self._ledger.add(message.entries), exclude=sender)

    async def _flood(
        self,
        entries: tuple[crash_entry.CrashEntry, ...],
        *,
        exclude: str | None,
    ) -> None:
        for message in _messages(entries):
            await self._peers.broadcast(message, exclude=exclude)


def _messages(
    entries: tuple[crash_entry.CrashEntry, ...],
) -> tuple[crash_report.CrashReport, ...]:
    return tuple(
        crash_report.CrashReport(entries[start : start + MAX_ENTRIES])
        for start in range(0, len(entries), MAX_ENTRIES)
    )
