"""Tests of the snapshot updater."""

import random
import types
import unittest

from galenatack.membership import member_table
from galenatack.routing import balancer
from galenatack.routing import snapshot_holder
from galenatack.routing import snapshot_updater
from galenatack.routing import target_member
from tests.fakes import event_list
from tests.fakes import manual_clock
from tests.fakes import member_records


def _target(node_id: str) -> target_member.TargetMember:
    return target_member.TargetMember(node_id, 1, 4, 0)


class TestLoads(unittest.TestCase):
    def test_loads_of_dead_members_are_dropped(self):
        """Guards against a leak: loads of replaced nodes are removed."""
        clock = manual_clock.ManualClock()
        table = member_table.MemberTable(
            own=member_records.build("n0"), clock=clock
        )
        loads = balancer.Balancer(clock=clock, rng=random.Random(1))
        updater = snapshot_updater.SnapshotUpdater(
            running=dict,
            table=table,
            withdrawals=types.SimpleNamespace(
                all=tuple, subscribe=lambda callback: None
            ),
            holder=snapshot_holder.SnapshotHolder(),
            clock=clock,
            events=event_list.EventList(),
            retain_loads=loads.retain_only,
        )
        table.merge([member_records.build("n1"), member_records.build("n2")])
        for node_id in ("n1", "n2"):
            loads.load(_target(node_id)).on_overload(0.0)
        reduced_limit = loads.load(_target("n1")).limit
        table.merge([member_records.build("n2", status="dead")])
        updater.rebuild()
        self.assertEqual(loads.load(_target("n1")).limit, reduced_limit)
        self.assertGreater(loads.load(_target("n2")).limit, reduced_limit)
