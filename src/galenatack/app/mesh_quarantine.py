"""Parts of a mesh node that keep requests from crashing its targets."""

import typing

from galenatack.app import mesh_base
from galenatack.interfaces import shared_table
from galenatack.membership import neighbour_sync
from galenatack.quarantine import crash_archive
from galenatack.quarantine import crash_ledger
from galenatack.quarantine import crash_reports
from galenatack.quarantine import quarantine


class MeshQuarantine(typing.NamedTuple):
    """Parts that keep requests from crashing targets."""

    ledger: crash_ledger.CrashLedger
    archive: crash_archive.CrashArchive
    reports: crash_reports.CrashReports
    quarantine: quarantine.Quarantine
    sync: neighbour_sync.NeighbourSync


def make(
    base: mesh_base.MeshBase, store: shared_table.SharedTable
) -> MeshQuarantine:
    """Makes the parts that keep requests from crashing targets."""
    ledger = crash_ledger.CrashLedger(clock=base.clock)
    archive = crash_archive.CrashArchive(
        ledger=ledger, table=store, clock=base.clock, rng=base.rng
    )
    reports = crash_reports.CrashReports(
        ledger=ledger, archive=archive, peers=base.peers
    )
    return MeshQuarantine(
        ledger=ledger,
        archive=archive,
        reports=reports,
        quarantine=quarantine.Quarantine(
            ledger=ledger, reports=reports, rng=base.rng
        ),
        sync=neighbour_sync.NeighbourSync(
            messages=reports.messages, peers=base.peers
        ),
    )
