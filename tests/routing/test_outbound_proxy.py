"""Tests of the outbound proxy with real gates on a memory network."""

import unittest

import anyio

from galenatack import exceptions
from galenatack.invariants import answer_match
from galenatack.messages import call as call_message
from galenatack.messages import call_answer
from galenatack.model import call_result
from galenatack.routing import call_plan
from tests.fakes import memory_guard
from tests.fakes import virtual_run
from tests.routing import mesh_rig


def run_rig(scenario, *, nodes: int = 3, seed: int = 1):
    """Runs `scenario(rig)` in virtual time."""

    async def main():
        async with anyio.create_task_group() as tasks:
            rig = mesh_rig.MeshRig(tasks, nodes=nodes, seed=seed)
            result = await scenario(rig)
            tasks.cancel_scope.cancel()
        return result

    return virtual_run.run(main, seed=seed)


class TestAnswers(unittest.TestCase):
    def test_each_call_gets_its_own_answer(self):
        """Each of 60 concurrent calls gets its own body."""

        async def scenario(rig):
            results_by_number = {}

            async def one(number):
                result = await rig.read(number % 3, f"/x/{number}")
                results_by_number[number] = result

            async with anyio.create_task_group() as tasks:
                for number in range(60):
                    tasks.start_soon(one, number)
            answered = {
                number: result
                for number, result in results_by_number.items()
                if result.outcome == "answer"
            }
            for number, result in answered.items():
                self.assertEqual(result.body, f"/x/{number} ".encode())
            self.assertGreater(len(answered), 20)

        run_rig(scenario)

    def test_answer_of_another_call_is_refused(self):
        """An answer with the id of another call violates an invariant."""

        async def scenario(rig):
            async def crossed(sender, message):
                return call_answer.CallAnswer(
                    "foreign", call_result.CallResult("answer", 200, (), b"")
                )

            for node in rig.nodes[1:]:
                node.peers._handlers.clear()
                node.peers.on(call_message.Call, crossed)
            rig.members[0] = rig.members[0]._replace(status="leaving")
            rig.swap()
            with self.assertRaises(answer_match.AnswerMismatchError):
                await rig.read()

        run_rig(scenario)


class TestRetries(unittest.TestCase):
    def test_reads_are_retried_when_a_node_is_gone(self):
        """Reads are answered although a node is gone; the node is ejected."""

        async def scenario(rig):
            rig.network.leave("n1")
            results = [await rig.read(0) for _ in range(30)]
            self.assertEqual({r.outcome for r in results}, {"answer"})
            load = rig.nodes[0].balancer.load(
                rig.nodes[0].holder.current.services["prices"].members["v1"][1]
            )
            self.assertGreater(load.ejected_until_s, 0)

        run_rig(scenario)

    def test_budget_bounds_retries(self):
        """If all targets fail, retries stay near 10% of the calls."""

        async def scenario(rig):
            error = exceptions.TargetAnswerLostError("lost")
            for node in rig.nodes:
                node.target.errors = [error] * 2000
            for _ in range(200):
                result = await rig.read(0)
                self.assertEqual(result.outcome, "unknown")
            self.assertLessEqual(len(rig.started()), 200 * 1.1 + 10)

        run_rig(scenario)

    def test_lost_posting_is_unknown_and_not_repeated(self):
        """A posting with a lost answer runs once and stays `unknown`."""

        async def scenario(rig):
            for node in rig.nodes:
                node.target.errors = [exceptions.TargetAnswerLostError("x")]
            first = await rig.post("k", 0)
            again = await rig.post("k", 1)
            self.assertEqual([first.outcome, again.outcome], ["unknown"] * 2)
            self.assertEqual(len(rig.started()), 1)

        run_rig(scenario)

    def test_unknown_posting_is_not_sent_elsewhere(self):
        """Even without a shared record, an unknown posting starts once."""

        async def scenario(rig):
            for node in rig.nodes:
                node.gate._guard = memory_guard.MemoryGuard()
                node.target.errors = [exceptions.TargetAnswerLostError("x")]
            result = await rig.post("k", 0)
            self.assertEqual(result.outcome, "unknown")
            self.assertEqual(len(rig.started()), 1)

        run_rig(scenario)

    def test_refused_posting_runs_elsewhere(self):
        """A posting that provably did not run is retried on another node."""

        async def scenario(rig):
            rig.nodes[0].target.errors = [exceptions.TargetShedError("busy")]
            result = await rig.post("k", 1)
            self.assertEqual(result.outcome, "answer")
            self.assertEqual(len(rig.nodes[1].target.started), 1)

        run_rig(scenario)

    def test_cut_after_dispatch_is_unknown(self):
        """A posting on a link that is cut in flight is never `not-run`."""

        async def scenario(rig):
            rig.nodes[0].target.latency_s = 0.3
            results = []

            async def post():
                results.append(await rig.post("k", 1))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(post)
                await anyio.sleep(0.1)
                rig.network.cut("n0", "n1")
            self.assertEqual(results[0].outcome, "unknown")
            self.assertEqual(len(rig.started()), 1)

        run_rig(scenario)


class TestDeadlines(unittest.TestCase):
    def test_final_answer_by_the_deadline(self):
        """A caller of a hanging target gets a result by its deadline."""

        async def scenario(rig):
            for node in rig.nodes:
                node.target.latency_s = 60
            began = anyio.current_time()
            result = await rig.read(0, deadline_ms=400)
            self.assertEqual(result.status, 504)
            self.assertEqual(result.outcome, "unknown")
            self.assertLess(anyio.current_time() - began, 0.55)

        run_rig(scenario)

    def test_confirmed_cancel_is_not_run(self):
        """A posting whose cancellation the target confirms is `not-run`."""

        async def scenario(rig):
            for node in rig.nodes:
                node.target.latency_s = 60
                node.target.cancellable = True
            result = await rig.post("k", 0, deadline_ms=300)
            self.assertEqual(result.outcome, "not-run")
            self.assertGreater(result.retry_after_ms, 0)

        run_rig(scenario)


class TestTickets(unittest.TestCase):
    def test_ticket_goes_to_its_node_only(self):
        """A ticket posting runs on its node or not at all."""

        async def scenario(rig):
            rig.tickets["t"] = call_plan.TicketBinding("n2", 1)
            result = await rig.post("t", 0)
            self.assertEqual(result.outcome, "answer")
            self.assertEqual(len(rig.nodes[2].target.started), 1)
            rig.tickets["u"] = call_plan.TicketBinding("n2", 7)
            gone = await rig.post("u", 0)
            self.assertEqual(gone.outcome, "unknown")
            rig.tickets["w"] = call_plan.TicketBinding("n9", 1)
            absent = await rig.post("w", 0)
            self.assertEqual(absent.outcome, "unknown")
            self.assertEqual(len(rig.started()), 1)

        run_rig(scenario)

    def test_ticket_of_a_leaving_node(self):
        """A leaving node returns recorded answers and runs nothing new."""

        async def scenario(rig):
            for key in ("old", "new"):
                rig.tickets[key] = call_plan.TicketBinding("n2", 1)
            first = await rig.post("old", 0)
            rig.nodes[2].gate.leave()
            rig.members[2] = rig.members[2]._replace(status="leaving")
            rig.swap()
            again = await rig.post("old", 1)
            self.assertEqual(again, first)
            new = await rig.post("new", 0)
            self.assertEqual(new.outcome, "not-run")
            self.assertEqual(len(rig.started()), 1)

        run_rig(scenario)


class TestRefusals(unittest.TestCase):
    def test_bad_calls_are_not_run(self):
        """Malformed calls are refused before any dispatch."""

        async def scenario(rig):
            handle = rig.nodes[0].proxy.handle
            cases = (
                ("GET", "/", (), 400),
                ("GET", "/nope/x", (), 404),
                ("DELETE", "/prices/x", (), 404),
                ("POST", "/prices/offers", (), 400),
                ("GET", "/prices/a/%2E%2e/offers", (), 400),
                ("GET", "/prices/x", (("galenatack-deadline-ms", "0"),), 400),
                ("GET", "/prices/x", (("a", "b" * 40_000),), 431),
                ("GET", "/prices/" + "x" * 9000, (), 414),
            )
            for method, path, headers, status in cases:
                result = await handle(
                    method=method, path=path, headers=headers, body=b""
                )
                self.assertEqual(result.status, status, path[:40])
                self.assertEqual(result.outcome, "not-run")
            self.assertEqual(rig.started(), [])

        run_rig(scenario)


class TestTiers(unittest.TestCase):
    def test_region_answers_for_a_data_centre_without_targets(self):
        """Without a local target, one in the same region answers."""

        async def scenario(rig):
            own, near, far = rig.members
            rig.members = [
                own._replace(service="other"),
                near._replace(data_centre="b"),
                far._replace(data_centre="c", region="far"),
            ]
            rig.swap()
            results = [await rig.read() for _ in range(10)]
            self.assertEqual({result.outcome for result in results}, {"answer"})
            started = [len(node.target.started) for node in rig.nodes]
            self.assertEqual(started, [0, 10, 0])

        run_rig(scenario)
