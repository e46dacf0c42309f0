"""Tests of the calls that a cold target gets, through its gate."""

import asyncio
import unittest
from unittest import mock

from galenatack import exceptions
from galenatack.model import gate_report
from galenatack.model import target_answer
from galenatack.model import warm_up
from galenatack.routing import local_replies
from galenatack.settings import fleet_bounds
from galenatack.warmup import cold_admission
from galenatack.warmup import cold_view
from galenatack.warmup import target_warmth
from tests.fakes import virtual_loop
from tests.placement import test_known_conditions
from tests.platform import test_target_headers

RATE_PER_S = 20.0
CALLERS = 80
OVERLOAD = 10
DURATION_S = 30.0
WORK_S = 0.03
BOUNDS = fleet_bounds.FleetBounds()


def allowed(rate_per_s):
    """Returns how many requests a cold target may get in a second."""
    return rate_per_s * BOUNDS.cold_overshoot + BOUNDS.cold_slack


def most_in_a_second(times_s):
    """Returns the largest number of times in any second."""
    first = 0
    most = 0
    for last, time_s in enumerate(times_s):
        while times_s[first] <= time_s - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


class ColdGate:
    """A gate, and the arrivals at its target, which answers in `WORK_S`."""

    def __init__(
        self, *, rate_per_s=RATE_PER_S, probe_path="/h", is_configured=True
    ):
        self.clock = virtual_loop.LoopClock()
        self.warmth = target_warmth.TargetWarmth(
            clock=self.clock, bounds=BOUNDS
        )
        self.warm_up = warm_up.WarmUp(10_000, rate_per_s, probe_path=probe_path)
        if is_configured:
            self.warmth.configure(self.warm_up)
        self.cold = cold_admission.ColdAdmission(warmth=self.warmth)
        self.arrivals_s = []
        self.refused_after_s = []
        self.cold_ms = mock.Mock(return_value=None)
        self.work_s = WORK_S
        self.gate, _ = test_known_conditions.restarted_gate(
            call=self._run, cold=self.cold
        )
        self.calls = 0

    async def _run(self, request):
        del request
        self.arrivals_s.append(self.clock.monotonic_s())
        await asyncio.sleep(self.work_s)
        if (cold_ms := self.cold_ms()) is not None:
            self.warmth.answer(cold_ms, starts=None)
        return target_answer.TargetAnswer(200, (), b"")

    async def call(self, *, cold_rate_per_s=0.0):
        """Sends one call; returns the answer of the gate."""
        self.calls += 1
        started_s = self.clock.monotonic_s()
        answer = await self.gate.handle(
            test_target_headers.REQUEST._replace(
                call_id=f"{self.calls}",
                posting=False,
                deadline_ms=2000,
                cold_rate_per_s=cold_rate_per_s,
            )
        )
        if answer.result.failure == exceptions.OverloadedError.code:
            waited_s = self.clock.monotonic_s() - started_s
            self.refused_after_s.append(waited_s)
        return answer

    async def load(self, rate_per_s, duration_s, *, callers=CALLERS, **options):
        """Lets callers send at a rate together, whatever is answered."""
        interval_s = callers / rate_per_s
        ends_s = self.clock.monotonic_s() + duration_s

        async def caller(number, tasks):
            await asyncio.sleep(interval_s * number / callers)
            while self.clock.monotonic_s() < ends_s:
                tasks.create_task(self.call(**options))
                await asyncio.sleep(interval_s)

        async with asyncio.TaskGroup() as tasks:
            for number in range(callers):
                tasks.create_task(caller(number, tasks))


class TestColdAdmission(unittest.TestCase):
    def test_ten_times_the_rate_stays_under_the_bound(self):
        """In every second of 30 s; what is refused is refused at once."""
        for rate_per_s in (0.5, 3.0, 7.5, RATE_PER_S):
            with self.subTest(rate_per_s=rate_per_s):
                gate = self.run_cold(rate_per_s)
                most = most_in_a_second(gate.arrivals_s)
                self.assertLessEqual(most, allowed(rate_per_s))
                self.assertEqual(max(gate.refused_after_s), 0.0)
                self.assertGreaterEqual(
                    len(gate.arrivals_s),
                    max(1, int(rate_per_s)) * (DURATION_S - 3) * 0.8,
                )

    def run_cold(self, rate_per_s):
        """Returns the gate of a target that was cold under load."""

        async def main():
            gate = ColdGate(rate_per_s=rate_per_s)
            gate.cold_ms.return_value = int(DURATION_S * 2000)
            gate.warmth.announce(int(DURATION_S * 2000))
            await gate.load(rate_per_s * OVERLOAD, DURATION_S)
            return gate

        return virtual_loop.run(main)

    def test_starts_that_are_late_on_their_way_keep_the_bound(self):
        """A second's starts at once would meet the next second's ones."""
        gate = self.run_cold(50.0)
        starts_s = gate.arrivals_s
        delayed_s = sorted(
            start_s + (0.2 if start_s % 2.0 < 1.0 else 0.0)
            for start_s in starts_s
        )
        self.assertLessEqual(most_in_a_second(delayed_s), allowed(50.0))

    def test_a_gate_counts_what_the_one_before_it_may_have_sent(self):
        """A restart of the gate would otherwise send a second's calls twice."""

        async def main():
            gate = ColdGate()
            gate.warmth.announce(5000)
            await asyncio.sleep(0.9)
            before = await gate.call()
            await asyncio.sleep(0.2)
            return before, await gate.call()

        before, after = virtual_loop.run(main)
        self.assertEqual(before.result.failure, "overloaded")
        self.assertEqual(before.report.cold_rate_per_s, RATE_PER_S)
        self.assertEqual(after.result.status, 200)

    def test_calls_that_wait_when_the_target_turns_cold_are_refused(self):
        """They were admitted for a warm target and have others to go to."""

        async def main():
            gate = ColdGate()
            gate.work_s = 1.0
            gate.warmth.answer(0, starts=None)
            calls = [asyncio.create_task(gate.call()) for _ in range(30)]
            await asyncio.sleep(0.1)
            gate.warmth.announce(5000)
            await asyncio.sleep(0.01)
            refused = len(gate.refused_after_s)
            await asyncio.gather(*calls)
            return refused, len(gate.arrivals_s)

        refused, ran = virtual_loop.run(main)
        self.assertEqual(refused + ran, 30)
        self.assertGreater(refused, 0)

    def test_a_target_that_turns_cold_under_load_is_noticed_by_an_answer(self):
        """Calls before it was known count against the same second."""

        async def main():
            gate = ColdGate()
            gate.cold_ms.return_value = 0
            gate.warmth.answer(0, starts=None)
            load = asyncio.create_task(gate.load(200.0, 6.0))
            await asyncio.sleep(2.0)
            turned_s = gate.clock.monotonic_s()
            gate.cold_ms.return_value = 10_000
            await load
            return [at_s for at_s in gate.arrivals_s if at_s >= turned_s]

        arrivals_s = virtual_loop.run(main)
        self.assertLessEqual(most_in_a_second(arrivals_s), allowed(RATE_PER_S))
        self.assertGreater(len(arrivals_s), RATE_PER_S * 2)

    def test_a_gate_without_a_configuration_keeps_the_rate_of_callers(self):
        """Peers send to a restored target before its node has the rows."""

        async def main():
            gate = ColdGate(is_configured=False)
            gate.cold_ms.return_value = 10_000
            load = asyncio.create_task(
                gate.load(200.0, 4.0, cold_rate_per_s=RATE_PER_S)
            )
            await asyncio.sleep(2.0)
            gate.warmth.configure(gate.warm_up)
            await load
            return gate.arrivals_s

        arrivals_s = virtual_loop.run(main)
        self.assertLessEqual(most_in_a_second(arrivals_s), allowed(RATE_PER_S))
        self.assertGreater(len(arrivals_s), RATE_PER_S * 2)

    def test_calls_before_the_configuration_count_against_its_rate(self):
        """Nodes of the release before send calls without a rate."""

        async def main():
            gate = ColdGate(is_configured=False)
            load = asyncio.create_task(gate.load(25.0, 3.0))
            await asyncio.sleep(1.5)
            gate.warmth.configure(gate.warm_up)
            await load
            return gate.arrivals_s

        arrivals_s = virtual_loop.run(main)
        self.assertLessEqual(most_in_a_second(arrivals_s), allowed(RATE_PER_S))
        turned_s = [at_s for at_s in arrivals_s if 1.5 <= at_s < 1.7]
        self.assertEqual(turned_s, [])

    def test_without_a_rate_nothing_is_counted_or_refused(self):
        """Services whose configuration says nothing run as before."""

        async def main():
            gate = ColdGate(rate_per_s=0.0)
            gate.warmth.announce(5000)
            answers = await asyncio.gather(*(gate.call() for _ in range(30)))
            return gate, {answer.report.cold_rate_per_s for answer in answers}

        gate, rates = virtual_loop.run(main)
        self.assertEqual((len(gate.arrivals_s), rates), (30, {None}))
        self.assertEqual(gate.warmth.starts, 0)


class TestColdView(unittest.TestCase):
    def test_many_nodes_offer_a_cold_target_little_more_than_it_takes(self):
        """Each of 80 nodes would otherwise offer calls all the time."""

        async def main():
            gate = ColdGate()
            gate.warmth.announce(60_000)
            offers = 0

            async def node(number):
                nonlocal offers
                view = cold_view.ColdView()
                await asyncio.sleep(0.001 * number)
                while gate.clock.monotonic_s() < DURATION_S:
                    if not view.is_paused(gate.clock.monotonic_s()):
                        offers += 1
                        answer = await gate.call()
                        now_s = gate.clock.monotonic_s()
                        view.apply(answer.report, answer.result, now_s)
                    await asyncio.sleep(0.01)

            async with asyncio.TaskGroup() as tasks:
                for number in range(CALLERS):
                    tasks.create_task(node(number))
            return offers, len(gate.arrivals_s)

        offers, taken = virtual_loop.run(main)
        self.assertGreater(taken, RATE_PER_S * DURATION_S * 0.6)
        self.assertLess(offers, taken * 8)

    def test_a_warm_report_ends_the_pause(self):
        """A target that is warm again would otherwise stay unused."""
        view = cold_view.ColdView()
        report = gate_report.GateReport(0, 0, 0, 0, 0, cold_rate_per_s=5.0)
        refusal = local_replies.not_run(
            exceptions.OverloadedError("cold", retry_after_ms=300)
        )
        view.apply(report, refusal, 1.0)
        self.assertTrue(view.is_paused(1.1))
        self.assertEqual(view.rate_per_s(1.1), 5.0)
        view.apply(report._replace(cold_rate_per_s=None), refusal, 1.1)
        self.assertFalse(view.is_paused(1.1))
        self.assertIsNone(view.rate_per_s(1.1))
