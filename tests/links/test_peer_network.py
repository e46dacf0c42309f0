"""Tests of the links over real connections on loopback."""

import functools
import unittest

import anyio
import anyio.lowlevel
import websockets.asyncio.client
import websockets.exceptions

from galenatack import exceptions
from galenatack.links import handshake
from galenatack.links import message_codec
from galenatack.links import traffic_count
from galenatack.messages import ask_posting
from galenatack.messages import busy
from galenatack.messages import call
from galenatack.messages import call_answer
from galenatack.messages import cancel_call
from galenatack.messages import delta
from galenatack.messages import held
from galenatack.messages import hello
from galenatack.messages import posting_status
from galenatack.messages import protocol_failure
from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.model import entry
from tests.fakes import member_records
from tests.links import loopback

TIMEOUT_S = 5.0

CLOSE_TOO_BIG = 1009
"""Close code of websockets for a frame above the limit."""


def _call(body=b"x"):
    request = call_request.CallRequest(
        "c1", "prices", "list", "GET", "/", (), body, 1000, False
    )
    return call.Call(request, 0)


async def _answer(sender, message):
    result = call_result.CallResult("answer", 200, (), message.request.body)
    return call_answer.CallAnswer(message.request.call_id, result)


async def _start(tasks, *names):
    nodes = [await loopback.Node(names[0]).start(tasks)]
    seeds = (nodes[0].record.peer_address,)
    for name in names[1:]:
        node = loopback.Node(name, seeds=seeds)
        nodes.append(await node.start(tasks))
    await loopback.until(lambda: loopback.are_joined(nodes))
    return nodes


async def _pair(tasks, left="a1-0", right="a1-1", **options):
    first = await loopback.Node(left, **options).start(tasks)
    seeds = (first.record.peer_address,)
    second = loopback.Node(right, seeds=seeds, **options)
    await second.start(tasks)
    await loopback.until(lambda: loopback.are_joined((first, second)))
    await loopback.until(lambda: bool(first.peers.neighbours()))
    await loopback.until(lambda: bool(second.peers.neighbours()))
    return first, second


def _connect(node):
    return websockets.asyncio.client.connect(
        f"ws://{node.record.peer_address}/", proxy=None, max_size=None
    )


def _hello(**changes):
    greeting = hello.Hello(
        handshake.PROTOCOL,
        handshake.OLDEST_PROTOCOL,
        loopback.DEPLOYMENT,
        "direct",
        member_records.build("a1-9"),
    )
    return message_codec.encode(greeting._replace(**changes))


class TestHandshake(unittest.TestCase):
    def _answers(self, first_frame):
        async def scenario(tasks):
            node = await loopback.Node("a1-0").start(tasks)
            async with _connect(node) as connection:
                await connection.send(first_frame)
                answer = await loopback.receive(connection)
                if not isinstance(answer, hello.Hello):
                    await connection.wait_closed()
                return answer, connection.close_code, len(node.table.live())

        return loopback.run(scenario)

    def test_refusals(self):
        """A peer that does not belong here is told why and closed."""
        frames = [
            ("deployment", _hello(deployment="other")),
            ("protocol-version", _hello(protocol=9, oldest_protocol=9)),
            ("protocol-version", _hello(protocol=0, oldest_protocol=0)),
            ("self", _hello(record=member_records.build("a1-0"))),
            ("protocol", _hello(purpose="other")),
            ("protocol", message_codec.encode(busy.Busy(1))),
        ]
        for code, frame in frames:
            with self.subTest(code, frame=frame):
                answer, close_code, members = self._answers(frame)
                self.assertIsInstance(answer, protocol_failure.ProtocolFailure)
                self.assertEqual((answer.code, close_code), (code, 1002))
                self.assertEqual(members, 1)

    def test_bad_first_frame(self):
        """A first frame that is no message is refused the same way."""
        answer, close_code, _ = self._answers(b"\xff")
        self.assertEqual((answer.code, close_code), ("protocol", 1002))

    def test_accepts_newer_release(self):
        """A newer peer that still speaks this protocol is let in."""
        answer, _, _ = self._answers(_hello(protocol=9))
        self.assertEqual(answer.record.node_id, "a1-0")

    def test_nodes_of_two_deployments(self):
        """A seed of another deployment never joins the two."""

        async def scenario(tasks):
            first = await loopback.Node("a1-0").start(tasks)
            seeds = (first.record.peer_address,)
            second = loopback.Node("a1-1", seeds=seeds, deployment="other")
            await second.start(tasks)
            with self.assertRaises(exceptions.ProtocolError):
                await second.peers._opener.open_address(seeds[0])
            return len(first.table.live()), len(second.table.live())

        self.assertEqual(loopback.run(scenario), (1, 1))


class TestFrames(unittest.TestCase):
    def _after_hello(self, frame):
        async def scenario(tasks):
            node = await loopback.Node("a1-0").start(tasks)
            async with _connect(node) as connection:
                await connection.send(_hello())
                answers = [await loopback.receive(connection)]
                try:
                    await connection.send(frame)
                    while True:
                        answers.append(await loopback.receive(connection))
                except websockets.exceptions.ConnectionClosed:
                    return answers, connection.close_code

        return loopback.run(scenario)

    def test_bad_frame(self):
        """A bad frame is answered by ProtocolFailure and a close."""
        answers, close_code = self._after_hello(b"\x81\x00")
        self.assertIsInstance(answers[-1], protocol_failure.ProtocolFailure)
        self.assertEqual(close_code, 1002)

    def test_big_frame(self):
        """A frame above the limit is refused when its length is read."""
        length = message_codec.MAX_FRAME_BYTES + 1

        async def scenario(tasks):
            node = await loopback.Node("a1-0").start(tasks)
            async with _connect(node) as connection:
                await connection.send(_hello())
                await loopback.receive(connection)
                # Only the header of a masked binary frame: the node must
                # not wait for the payload.
                header = b"\x82\xff" + length.to_bytes(8, "big") + bytes(4)
                connection.transport.write(header)
                await connection.wait_closed()
                return connection.close_code

        self.assertEqual(loopback.run(scenario), CLOSE_TOO_BIG)

    def test_second_hello(self):
        """A peer cannot change its identity on an open link."""
        answers, close_code = self._after_hello(_hello())
        self.assertIsInstance(answers[-1], protocol_failure.ProtocolFailure)
        self.assertEqual(close_code, 1002)

    def test_slow_peer_is_dropped(self):
        """A peer that does not read is dropped, not buffered for ever."""

        async def scenario(tasks):
            node = await loopback.Node("a1-0").start(tasks)
            body = bytes(1 << 20)
            big = delta.Delta(0, 1, (entry.Entry("p", 1, 1, "", body),), None)
            async with _connect(node) as connection:
                await connection.send(_hello(purpose="overlay"))
                connection.transport.pause_reading()
                await loopback.until(lambda: bool(node.peers.neighbours()))
                sent = 0
                while node.peers.neighbours():
                    await node.peers.broadcast(big)
                    await anyio.lowlevel.checkpoint()
                    sent += 1
                connection.transport.abort()
                return sent

        self.assertLess(loopback.run(scenario), 64)


class TestRequests(unittest.TestCase):
    def _ask(self, handler, message=None, timeout_s=TIMEOUT_S):
        async def scenario(tasks):
            first, second = await _pair(tasks)
            if handler is not None:
                second.peers.on(ask_posting.AskPosting, handler)
                second.peers.on(call.Call, handler)
            question = message or ask_posting.AskPosting("prices", "k")
            return await first.peers.request(
                "a1-1", question, timeout_s=timeout_s
            )

        return loopback.run(scenario)

    def test_reply(self):
        """A request gets the value that the handler returned."""
        status = posting_status.PostingStatus("unknown", None)

        async def handler(sender, message):
            self.assertEqual((sender, message[1]), ("a1-0", "k"))
            return status

        self.assertEqual(self._ask(handler), status)

    def test_busy(self):
        """A peer that refuses for now says for how long."""

        async def handler(sender, message):
            raise exceptions.PeerBusyError("full", retry_after_ms=70)

        with self.assertRaises(exceptions.PeerBusyError) as caught:
            self._ask(handler)
        self.assertEqual(caught.exception.retry_after_ms, 70)

    def test_no_handler(self):
        """A node that is still starting refuses for now."""
        with self.assertRaises(exceptions.PeerBusyError):
            self._ask(None)

    def test_failing_handler(self):
        """After a failure of the handler the request may have run."""

        async def handler(sender, message):
            raise ZeroDivisionError

        with (
            self.assertLogs("galenatack.links", "ERROR"),
            self.assertRaises(exceptions.PeerTimeoutError),
        ):
            self._ask(handler)

    def test_timeout(self):
        """A request without a reply ends at its time."""

        async def handler(sender, message):
            await anyio.sleep_forever()

        with self.assertRaises(exceptions.PeerTimeoutError):
            self._ask(handler, timeout_s=0.05)

    def test_unknown_node(self):
        """Nothing is sent to a node that is no member."""

        async def scenario(tasks):
            node = await loopback.Node("a1-0").start(tasks)
            with self.assertRaises(exceptions.PeerUnreachableError):
                await node.peers.request("x", _call(), timeout_s=TIMEOUT_S)

        loopback.run(scenario)

    def test_concurrent_calls(self):
        """Each of many calls at once gets its own answer, on one link."""

        async def scenario(tasks):
            first, second = await _pair(tasks)

            async def slow_first(sender, message):
                await anyio.sleep(0.002 * (9 - message.request.body[0] % 10))
                return await _answer(sender, message)

            second.peers.on(call.Call, slow_first)
            answers = {}

            async def ask(number):
                answers[number] = await first.peers.request(
                    "a1-1", _call(bytes([number])), timeout_s=TIMEOUT_S
                )

            async with anyio.create_task_group() as callers:
                for number in range(100):
                    callers.start_soon(ask, number)
            links = [
                link
                for link in first.peers._book.links()
                if link.purpose == "calls"
            ]
            return answers, len(links)

        answers, links = loopback.run(scenario)
        for number, answer in answers.items():
            self.assertEqual(answer.result.body, bytes([number]))
        self.assertEqual((len(answers), links), (100, 1))

    def test_cancel_uses_the_link_of_its_call(self):
        """A cancel cannot overtake its call on another connection."""

        async def scenario(tasks):
            first, second = await _pair(tasks)
            seen = []

            async def note(name, sender, message):
                seen.append(name)

            note_call = functools.partial(note, "call")
            note_cancel = functools.partial(note, "cancel")
            second.peers.on(call.Call, note_call)
            second.peers.on(cancel_call.CancelCall, note_cancel)
            link = await first.peers._link("a1-1", for_calls=True)
            for _ in range(20):
                link.post(_call(bytes(50_000)))
                await first.peers.send("a1-1", cancel_call.CancelCall("c1"))
            await loopback.until(lambda: len(seen) == 40)
            return seen

        self.assertEqual(loopback.run(scenario), ["call", "cancel"] * 20)


class TestFaults(unittest.TestCase):
    def test_cut_and_heal(self):
        """Data centres that were cut apart find each other without seeds."""

        async def scenario(tasks):
            nodes = await _start(tasks, "a1-0", "a1-1", "a2-0", "a2-1")
            for node in nodes[:2]:
                node.peers.fault_injector.cut(["a2"])
            await loopback.until(
                lambda: all(len(n.table.live()) == 2 for n in nodes)
            )
            with self.assertRaises(exceptions.PeerError):
                await nodes[0].peers.request("a2-0", _call(), timeout_s=0.2)
            neighbours = [n.peers.neighbours() for n in nodes]
            for node in nodes[:2]:
                node.peers.fault_injector.cut([])
            await loopback.until(lambda: loopback.are_joined(nodes))
            return neighbours

        expected = [{"a1-1"}, {"a1-0"}, {"a2-1"}, {"a2-0"}]
        self.assertEqual(loopback.run(scenario), expected)

    def test_no_frame_passes_a_cut(self):
        """A cut at one node drops frames of both directions at once."""

        async def scenario(tasks):
            first, second = await _pair(tasks, "a1-0", "a2-0")
            seen = []

            async def note(sender, message):
                seen.append(sender)

            for node in (first, second):
                node.peers.on(held.Held, note)
            first.peers.fault_injector.cut(["a2"])
            for node in (first, second):
                await node.peers.broadcast(held.Held("x", 1))
            await loopback.until(
                lambda: (
                    not first.peers.neighbours()
                    and not second.peers.neighbours()
                )
            )
            return seen

        self.assertEqual(loopback.run(scenario), [])

    def test_cut_needs_the_setting(self):
        """Links cannot be cut where the settings do not allow it."""

        async def scenario(tasks):
            node = loopback.Node("a1-0")
            node.peers.fault_injector._enabled = False
            with self.assertRaises(exceptions.SettingsError):
                node.peers.fault_injector.cut(["a2"])

        loopback.run(scenario)

    def test_delay_keeps_order_and_does_not_add_up(self):
        """Delayed frames arrive in order, one delay after they were sent."""
        delay_s = 0.1

        async def scenario(tasks):
            first, second = await _pair(
                tasks, "a1-0", "b1-0", region_delay_ms=int(delay_s * 1000)
            )
            seen = []

            async def note(sender, message):
                seen.append((message.held_seq, anyio.current_time()))

            second.peers.on(held.Held, note)
            started_s = anyio.current_time()
            for number in range(30):
                await first.peers.send("b1-0", held.Held("a1-0", number))
            await loopback.until(lambda: len(seen) == 30)
            return started_s, seen

        started_s, seen = loopback.run(scenario)
        self.assertEqual([number for number, _ in seen], list(range(30)))
        first_s, last_s = seen[0][1], seen[-1][1]
        self.assertGreaterEqual(first_s - started_s, delay_s * 0.9)
        self.assertLess(last_s - first_s, first_s - started_s)


class TestTraffic(unittest.TestCase):
    def test_counts(self):
        """Frames are counted by type, direction and region boundary."""

        async def scenario(tasks):
            first, second = await _pair(tasks, "a1-0", "b1-0")
            second.peers.on(call.Call, _answer)
            for _ in range(3):
                await first.peers.request("b1-0", _call(), timeout_s=TIMEOUT_S)
            return first.peers.traffic(), second.peers.traffic()

        ours, theirs = loopback.run(scenario)
        size = len(message_codec.encode(_call(), request_id=1))
        expected = traffic_count.TrafficCount(3, 3 * size)
        key = traffic_count.TrafficKey("Call", "sent", True)
        self.assertEqual(ours[key], expected)
        self.assertEqual(theirs[key._replace(direction="received")], expected)
        self.assertNotIn(key._replace(crosses_region=False), ours)


class TestOverlay(unittest.TestCase):
    def test_planned_stop(self):
        """A node that announced its stop is dead without a suspicion."""

        async def scenario(tasks):
            nodes = await _start(tasks, "a1-0", "a1-1", "a1-2")
            last = loopback.Node("a1-3", seeds=(nodes[0].record.peer_address,))
            async with anyio.create_task_group() as stopping:
                await last.start(stopping)
                everyone = (*nodes, last)
                await loopback.until(lambda: loopback.are_joined(everyone))
                await loopback.until(lambda: len(last.peers.neighbours()) == 3)
                await last.service.leave()
                stopping.cancel_scope.cancel()
            await loopback.until(lambda: loopback.are_joined(nodes))
            return [
                facts["status"]
                for node in nodes
                for _, facts in node.events.events
                if facts.get("member") == "a1-3"
            ]

        statuses = loopback.run(scenario)
        self.assertEqual(statuses.count("leaving"), 3)
        self.assertNotIn("suspect", statuses)

    def test_several_data_centres(self):
        """Nodes that know one seed find each other; broadcasts reach all."""

        async def scenario(tasks):
            names = [f"{c}-{i}" for c in ("a1", "a2", "b1") for i in (0, 1)]
            nodes = await _start(tasks, *names)
            nodes[1].table.update_own(slots=9)
            await loopback.until(
                lambda: all(n.table.get(names[1]).slots == 9 for n in nodes)
            )
            return [status for n in nodes for status in n.events.events]

        for _, facts in loopback.run(scenario):
            self.assertNotIn(facts["status"], ("suspect", "dead"))
