"""Places whose targets may get a call."""

import typing

from galenatack.model import member_record


class PermittedPlaces(typing.NamedTuple):
    """Places whose targets may get a call.

    Attributes:
        home_regions: Permitted regions; None for all.
        evacuated: Data centres whose targets get no calls.
    """

    home_regions: frozenset[str] | None = None
    evacuated: frozenset[str] = frozenset()

    def admits(self, record: member_record.MemberRecord) -> bool:
        """Returns whether the target of a node may get the call."""
        return (
            self.home_regions is None or record.region in self.home_regions
        ) and record.data_centre not in self.evacuated


ANYWHERE = PermittedPlaces()
