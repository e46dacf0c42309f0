"""The targets to which a call may be sent, by version."""

from galenatack import exceptions
from galenatack.homes import evacuations as evacuations_module
from galenatack.homes import homes
from galenatack.homes import permitted_places
from galenatack.model import host_route
from galenatack.model import member_record
from galenatack.model import tenant as tenant_module
from galenatack.traffic import target_directory

_Record = member_record.MemberRecord

NO_HOME_RETRY_AFTER_MS = 1000
"""A target or its node starts again within about this time."""

EVACUATED_RETRY_AFTER_MS = 2000
"""The operator ends an evacuation; the end is known everywhere within 5 s."""

DISJOINT_HOMES_RETRY_AFTER_MS = 30_000
"""Only another configuration lets the request run."""


class PermittedTargets:
    """Applies homes and evacuations before a version and target are chosen.

    The rank of targets is computed among the permitted ones only: a suspected
    target at home comes before any healthy one elsewhere.

    Args:
        directory: All targets.
        evacuations: Evacuated data centres.
    """

    def __init__(
        self,
        *,
        directory: target_directory.TargetDirectory,
        evacuations: evacuations_module.Evacuations,
    ):
        self._directory = directory
        self._evacuations = evacuations

    def by_version(
        self,
        service: str,
        route: host_route.HostRoute,
        tenant: tenant_module.Tenant | None,
    ) -> dict[str, tuple[_Record, ...]]:
        """Returns the usable targets by version.

        Raises:
            exceptions.NoPermittedTargetError: Homes or evacuations leave none.
        """
        places = permitted_places.PermittedPlaces(
            homes.home_regions(route, tenant), self._evacuations.active()
        )
        targets = self._directory.by_version(service, places)
        if not targets and places != permitted_places.ANYWHERE:
            raise _no_target(service, places)
        return targets

    def everywhere(self, service: str) -> dict[str, tuple[_Record, ...]]:
        """Returns the usable targets by version, also those not permitted."""
        return self._directory.by_version(service)

    def note_refusal(self, member: _Record) -> None:
        """Notes that a gate refused a call since it is evacuated."""
        self._evacuations.note_refusal(member.data_centre)


def _no_target(
    service: str, places: permitted_places.PermittedPlaces
) -> exceptions.NoPermittedTargetError:
    regions = places.home_regions
    if regions is not None and not regions:
        return exceptions.NoPermittedTargetError(
            f"route and tenant have no region for {service} in common",
            retry_after_ms=DISJOINT_HOMES_RETRY_AFTER_MS,
        )
    where = "any region" if regions is None else ", ".join(sorted(regions))
    if not places.evacuated:
        return exceptions.NoPermittedTargetError(
            f"no target of {service} in {where}",
            retry_after_ms=NO_HOME_RETRY_AFTER_MS,
        )
    evacuated = ", ".join(sorted(places.evacuated))
    return exceptions.NoPermittedTargetError(
        f"no target of {service} in {where} outside evacuated {evacuated}",
        retry_after_ms=EVACUATED_RETRY_AFTER_MS,
    )
