"""The targets of each service, by version."""

import collections

from galenatack.homes import permitted_places
from galenatack.membership import member_table
from galenatack.model import member_record
from galenatack.model import member_status
from galenatack.model import target_state

_Record = member_record.MemberRecord
_CACHE_KEY = "target-directory"


class TargetDirectory:
    """Index of the member table, recomputed after each change of the table.

    Args:
        members: Members of the fleet.
    """

    def __init__(self, *, members: member_table.MemberTable):
        self._members = members

    def by_version(
        self,
        service: str,
        places: permitted_places.PermittedPlaces = permitted_places.ANYWHERE,
    ) -> dict[str, tuple[_Record, ...]]:
        """Returns the usable targets of a service, by version.

        Each version has its best group of targets. If all of them are leaving
        or suspected, they are still returned: an attempt is better than
        refusing the call.

        Args:
            service: The service.
            places: Places of the targets.
        """
        return self._members.cached(
            (_CACHE_KEY, service, places),
            lambda: self._find(service, places),
        )

    def count(self, service: str, version: str) -> int:
        """Returns the number of usable targets of a version."""
        return len(self.by_version(service).get(version, ()))

    def _find(
        self, service: str, places: permitted_places.PermittedPlaces
    ) -> dict[str, tuple[_Record, ...]]:
        ranked: dict[str, dict[int, list[_Record]]] = collections.defaultdict(
            lambda: collections.defaultdict(list)
        )
        for record in self._members.live():
            if record.service != service or not record.target_id:
                continue
            if not places.admits(record):
                continue
            rank = _rank(record)
            if rank is not None:
                ranked[record.version][rank].append(record)
        return {
            version: tuple(groups[min(groups)])
            for version, groups in ranked.items()
        }


def _rank(record: _Record) -> int | None:
    """Returns 0 for a healthy target, a higher rank for a worse one.

    None means that the target is gone.
    """
    if record.target_state == target_state.TargetState.GONE:
        return None
    if record.target_state == target_state.TargetState.DRAINING:
        return 2
    if record.status == member_status.MemberStatus.SERVING:
        return 0
    if record.status == member_status.MemberStatus.LEAVING:
        return 2
    return 1
