"""Tests of what callers remember of targets whose gate has restarted."""

import asyncio
import random
import unittest
from unittest import mock

from galenatack import exceptions
from galenatack.admission import admission_queue
from galenatack.admission import retried_runs
from galenatack.admission import retry_slack
from galenatack.admission import service_times
from galenatack.admission import target_calls
from galenatack.admission import target_gate
from galenatack.admission import target_registry
from galenatack.estimates import gate_work
from galenatack.model import retry_bounds
from galenatack.model import target_condition
from galenatack.placement import known_conditions
from galenatack.placement import target_placement
from tests.admission import test_target_registry
from tests.fakes import virtual_loop
from tests.placement import fleet_load
from tests.platform import test_target_headers
from tests.quarantine import test_quarantine

MEMBER = fleet_load.member("1")._replace(target_born_ms=100)
LEAVING = target_condition.TargetCondition(is_leaving=True)


async def never_answer(_):
    """Waits until it is cancelled."""
    await asyncio.Event().wait()


def restarted_gate(*, call=never_answer, **options):
    """Returns a gate whose target has not answered it yet, and its link."""
    clock = virtual_loop.LoopClock()
    times = service_times.ServiceTimes()
    link = mock.Mock(call=mock.AsyncMock(side_effect=call))
    registry = target_registry.TargetRegistry(
        service="s", clock=clock, drain_notice_s=1.0, on_changed=mock.Mock()
    )
    registry.announce(test_target_registry.announcement())
    quarantine, _ = test_quarantine.make()
    gate = target_gate.TargetGate(
        registry=registry,
        queue=admission_queue.AdmissionQueue(
            clock=clock, rng=random.Random(1), times=times
        ),
        times=times,
        calls=target_calls.TargetCalls(
            registry=registry,
            link=link,
            clock=clock,
            quarantine=quarantine,
            crashes=mock.Mock(),
        ),
        clock=clock,
        log=mock.Mock(),
        stats=mock.Mock(),
        is_withdrawn=lambda *_: False,
        on_outcome=mock.Mock(),
        quarantine=quarantine,
        runs=retried_runs.RetriedRuns(
            clock=clock,
            slack=retry_slack.RetrySlack(
                clock=clock, bounds=retry_bounds.RetryBounds()
            ),
        ),
        bodies=mock.Mock(),
        **options,
        work=gate_work.GateWork(clock=clock),
    )
    gate.on_target_changed()
    return gate, link


class TestKnownConditions(unittest.TestCase):
    def setUp(self):
        self.known = known_conditions.KnownConditions()

    def test_a_leaving_target_is_not_chosen_after_its_gate_restarted(self):
        """It may be chosen again once it has started anew."""
        placement = target_placement.TargetPlacement(
            own=MEMBER,
            clock=mock.Mock(monotonic_s=lambda: 0.0),
            rng=random.Random(1),
            is_connected=lambda node_id: True,
            conditions=self.known,
        )
        choose = {"route": fleet_load.route(), "left_ms": 800, "tried": set()}
        self.known.record(MEMBER, LEAVING)
        self.known.record(MEMBER, target_condition.NORMAL)
        restarted = MEMBER._replace(boot_ms=2, target_state="ready")
        with self.assertRaises(exceptions.NoTargetError):
            placement.choose([restarted], **choose)
        anew = restarted._replace(target_born_ms=200)
        self.assertEqual(placement.choose([anew], **choose), anew)

    def test_a_restarted_gate_keeps_the_limit_that_callers_know(self):
        """Without it, all slots would be taken before the first answer."""

        async def main():
            gate, link = restarted_gate()
            call = test_target_headers.REQUEST._replace(
                service="s",
                target_rate_limit_per_s=self.known.rate_limit_per_s(MEMBER),
            )
            tasks = [
                asyncio.create_task(gate.handle(call._replace(call_id=f"{n}")))
                for n in range(12)
            ]
            await asyncio.sleep(0.6)
            self.assertEqual(link.call.await_count, 1)
            gate.apply_condition("i-1", target_condition.NORMAL)
            later = asyncio.create_task(gate.handle(call))
            await asyncio.sleep(0.01)
            self.assertEqual(link.call.await_count, 2)
            for task in (*tasks, later):
                task.cancel()

        limited = target_condition.TargetCondition(rate_limit_per_s=2.0)
        self.known.record(MEMBER, limited)
        virtual_loop.run(main)
