"""Builds member records."""

from galenatack.model import member_record
from galenatack.model import member_status


def build(
    node_id: str = "n0",
    *,
    incarnation: int = 1,
    status: str = member_status.MemberStatus.SERVING.value,
    data_centre: str = "a1",
    region: str = "a",
    peer_address: str = "127.0.0.1:0",
    beat: int = 0,
) -> member_record.MemberRecord:
    """Returns a record with default values."""
    return member_record.MemberRecord(
        node_id=node_id,
        incarnation=incarnation,
        status=status,
        data_centre=data_centre,
        region=region,
        service="prices",
        version="v1",
        peer_address=peer_address,
        call_address="127.0.0.1:0",
        admin_address="127.0.0.1:0",
        slots=4,
        beat=beat,
    )
