"""Roles of nodes, assigned by rendezvous hash.

A role depends on the members only, not on the time of day: nodes whose clocks
differ would choose different holders. It moves when its holder leaves.
"""

import collections.abc
import hashlib

from galenatack.membership import member_table
from galenatack.model import member_record
from galenatack.model import member_status

READERS_PER_DATA_CENTRE = 2
CARRIERS_PER_REGION = 2
CARRIERS_PER_DATA_CENTRE = 2

_Records = collections.abc.Iterable[member_record.MemberRecord]

# A leaving node gives up its roles before it stops. A joining node has not
# caught up yet and gets roles only if there is no other node.
_PREFERRED = (
    member_status.MemberStatus.SERVING,
    member_status.MemberStatus.SUSPECT,
)


def rank(node_ids: collections.abc.Iterable[str], salt: str) -> list[str]:
    """Returns the nodes by rendezvous hash, the first choice first."""

    def weight(node_id: str) -> bytes:
        text = f"{salt}\0{node_id}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(node_ids, key=lambda node_id: (weight(node_id), node_id))


def is_reader(table: member_table.MemberTable) -> bool:
    """Returns whether this node reads the platform for its data centre."""
    own = table.own
    ranked = _ranked_in_data_centre(table, "reader", own.data_centre)
    return own.node_id in ranked[:READERS_PER_DATA_CENTRE]


def carriers(table: member_table.MemberTable, region: str) -> tuple[str, ...]:
    """Returns the carriers of a region, if possible of two data centres."""
    return table.cached(
        ("carriers", region),
        lambda: _carriers(table, region),
    )


def data_centre_carriers(
    table: member_table.MemberTable, data_centre: str
) -> tuple[str, ...]:
    """Returns the nodes that link a data centre to others of its region."""
    return table.cached(
        ("data-centre-carriers", data_centre),
        lambda: _data_centre_carriers(table, data_centre),
    )


def _data_centre_carriers(
    table: member_table.MemberTable, data_centre: str
) -> tuple[str, ...]:
    node_ids = _eligible(
        record for record in table.live() if record.data_centre == data_centre
    )
    ranked = rank(node_ids, f"join/{data_centre}")
    return tuple(ranked[:CARRIERS_PER_DATA_CENTRE])


def carrier_peers(table: member_table.MemberTable) -> frozenset[str]:
    """Returns the nodes to which this node keeps carrier links.

    Each carrier links to both carriers of the other side. The loss of all
    links to a side therefore indicates a fault of the side and not of a
    single node.
    """
    return table.cached(
        "carrier-peers",
        lambda: _carrier_peers(table),
    )


def stream_peers(table: member_table.MemberTable) -> frozenset[str]:
    """Returns the peers in other regions to which this node sends streams.

    Only the first carriers of two regions exchange streams; the second ones
    repair by digest. Each change is therefore sent between two regions once
    in each direction.
    """
    own = table.own
    if own.node_id not in carriers(table, own.region)[:1]:
        return frozenset()
    regions = {record.region for record in table.live()} - {own.region}
    return frozenset(carriers(table, region)[0] for region in regions)


def is_carrier(table: member_table.MemberTable) -> bool:
    """Returns whether this node links its data centre or region to others."""
    own = table.own
    return own.node_id in (
        *carriers(table, own.region),
        *data_centre_carriers(table, own.data_centre),
    )


def is_first_carrier(table: member_table.MemberTable) -> bool:
    """Returns whether this node is the first carrier of its data centre."""
    own = table.own
    carriers = data_centre_carriers(table, own.data_centre)
    return carriers[:1] == (own.node_id,)


def _carrier_peers(table: member_table.MemberTable) -> frozenset[str]:
    own = table.own
    chosen: set[str] = set()
    if own.node_id in carriers(table, own.region):
        for region in {r.region for r in table.live()} - {own.region}:
            chosen.update(carriers(table, region))
    own_carriers = data_centre_carriers(table, own.data_centre)
    if own.node_id in own_carriers:
        for name in _other_data_centres(table):
            chosen.update(data_centre_carriers(table, name))
    return frozenset(chosen)


def _carriers(table: member_table.MemberTable, region: str) -> tuple[str, ...]:
    records = {
        record.node_id: record
        for record in table.live()
        if record.region == region
    }
    ranked = rank(_eligible(records.values()), f"carrier/{region}")
    first_by_data_centre = {
        records[node_id].data_centre: node_id for node_id in reversed(ranked)
    }
    firsts = [n for n in ranked if n in first_by_data_centre.values()]
    others = [n for n in ranked if n not in first_by_data_centre.values()]
    return tuple((firsts + others)[:CARRIERS_PER_REGION])


def _ranked_in_data_centre(
    table: member_table.MemberTable,
    role: str,
    data_centre: str,
) -> tuple[str, ...]:
    salt = f"{role}/{data_centre}"

    def ranked() -> tuple[str, ...]:
        records = table.live()
        candidates = (r for r in records if r.data_centre == data_centre)
        return tuple(rank(_eligible(candidates), salt))

    return table.cached(salt, ranked)


def _other_data_centres(table: member_table.MemberTable) -> frozenset[str]:
    own = table.own
    names = {r.data_centre for r in table.live() if r.region == own.region}
    return frozenset(names - {own.data_centre})


def _eligible(records: _Records) -> list[str]:
    candidates = list(records)
    preferred = [r.node_id for r in candidates if r.status in _PREFERRED]
    return preferred or [r.node_id for r in candidates]
