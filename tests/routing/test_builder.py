"""Tests of the snapshot builder, the route matcher and the holder."""

import unittest

from galenatack import exceptions
from galenatack.invariants import references
from galenatack.model import move_state
from galenatack.model import pool
from galenatack.model import route
from galenatack.routing import builder
from galenatack.routing import route_matcher
from galenatack.routing import snapshot
from galenatack.routing import snapshot_holder
from galenatack.routing import target_member
from tests.routing import mesh_rig

MOVE = move_state.MoveState(
    move_id="m1",
    service=mesh_rig.SERVICE,
    from_version="v1",
    to_version="v2",
    started_ms=0,
    by_ms=60_000,
    phase="running",
    share_permille=50,
    active_targets=1,
    step=0,
)
MEMBERS = [
    mesh_rig.record("a"),
    mesh_rig.record("b", status="leaving"),
    mesh_rig.record("c", version="v2", data_centre="b"),
    mesh_rig.record("d", version="v2", region="s", data_centre="x"),
]


def _build(*, profile=None, moves=(), withdrawn=(), members=MEMBERS):
    return builder.build(
        profiles=[profile or mesh_rig.prices_profile()],
        choices=[mesh_rig.CHOICE],
        moves=moves,
        members=members,
        withdrawn=withdrawn,
        own=MEMBERS[0],
    )


def _ids(built, version):
    members = built.services[mesh_rig.SERVICE].members[version]
    return [(member.node_id, member.tier) for member in members]


class TestBuild(unittest.TestCase):
    def test_only_serving_members_with_their_tier(self):
        """Leaving members are left out; tiers are relative to this node."""
        built = _build()
        self.assertEqual(_ids(built, "v1"), [("a", 0)])
        self.assertEqual(_ids(built, "v2"), [("c", 1), ("d", 2)])

    def test_active_targets_of_a_move(self):
        """A running move uses only its few active targets."""
        self.assertEqual(_ids(_build(moves=[MOVE]), "v2"), [("c", 1)])

    def test_withdrawal_after_done(self):
        """A withdrawal after `done` does not remove the service's targets."""
        withdrawn = {(mesh_rig.SERVICE, "v2", "m1")}
        before = _build(moves=[MOVE._replace(phase="done")])
        built = _build(moves=[MOVE._replace(phase="done")], withdrawn=withdrawn)
        self.assertEqual(
            built.services[mesh_rig.SERVICE].members,
            before.services[mesh_rig.SERVICE].members,
        )
        self.assertTrue(built.services[mesh_rig.SERVICE].members["v2"])

    def test_withdrawn_version_gets_no_target(self):
        """A withdrawn version has no members until a later move begins."""
        withdrawn = {(mesh_rig.SERVICE, "v2", "m1")}
        built = _build(moves=[MOVE], withdrawn=withdrawn)
        self.assertEqual(_ids(built, "v2"), [])
        later = MOVE._replace(move_id="m2", active_targets=0)
        built = _build(moves=[later], withdrawn=withdrawn)
        self.assertEqual(len(_ids(built, "v2")), 2)

    def test_all_unresolved_references_are_reported(self):
        """Every unresolved reference is named; no snapshot is built."""
        broken = mesh_rig.prices_profile(
            pools=(pool.Pool("main", "v9"),),
            routes=(route.Route("r", "/", ("GET",), "gone", "gone"),),
        )
        with self.assertRaises(exceptions.SnapshotError) as caught:
            _build(profile=broken)
        self.assertEqual(len(str(caught.exception).splitlines()), 3)

    def test_suspects_are_a_fallback(self):
        """A suspected member is used only if no member is serving."""
        suspect = mesh_rig.record("z", status="suspect")
        self.assertEqual(
            _ids(_build(members=[*MEMBERS, suspect]), "v1"), [("a", 0)]
        )
        self.assertEqual(_ids(_build(members=[suspect]), "v1"), [("z", 0)])


class TestFirstTargets(unittest.TestCase):
    def test_targets_with_an_old_one_in_the_data_centre_come_first(self):
        """The first new targets have an old target to be compared with."""
        fields = {"incarnation": 1, "slots": 4, "tier": 0}
        make = target_member.TargetMember
        other = make("a", **fields, data_centre="d1")
        comparable = make("b", **fields, data_centre="d2")
        old = make("c", **fields, data_centre="d2")
        ordered = builder._order_new_targets((other, comparable), (old,))
        self.assertEqual(ordered, (comparable, other))


class TestHolder(unittest.TestCase):
    def test_unresolved_snapshot_is_not_put_in_force(self):
        """The references check refuses a snapshot with a dangling pool."""
        built = _build()
        table = built.services[mesh_rig.SERVICE]
        broken = snapshot.RoutingSnapshot(
            {mesh_rig.SERVICE: table._replace(pools={})}
        )
        holder = snapshot_holder.SnapshotHolder()
        holder.swap(built)
        with self.assertRaises(references.UnresolvedReferenceError):
            holder.swap(broken)
        self.assertIs(holder.current, built)


class TestMatch(unittest.TestCase):
    def test_longest_prefix_on_whole_segments(self):
        """The longest prefix that allows the method wins."""
        table = _build().services[mesh_rig.SERVICE]
        cases = (
            ("GET", "/offers", "read"),
            ("POST", "/offers", "offers"),
            ("POST", "/offers/3?x=1", "offers"),
            ("POST", "/offers?x=1", "offers"),
        )
        for method, path, name in cases:
            found = route_matcher.match(table, method=method, path=path)
            self.assertEqual(found.name, name)
        with self.assertRaises(exceptions.NoRouteError):
            route_matcher.match(table, method="POST", path="/offersx")
