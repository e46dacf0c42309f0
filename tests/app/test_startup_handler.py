"""Tests that calls are refused while a node starts."""

import unittest

import anyio

from galenatack.app import startup_handler
from galenatack.model import call_result
from tests.config import cluster as cluster_module
from tests.fakes import sample_profile

STEPS = 400
STEP_S = 0.01


class _SeqRecorder:
    """Records the seq in force at each call that was let through."""

    def __init__(self, node: cluster_module.Node):
        self._node = node
        self.seqs: list[int] = []

    async def handle(self, **call) -> call_result.CallResult:
        """Answers a call."""
        del call
        self.seqs.append(self._node.state.running_seq)
        return call_result.CallResult(
            outcome="answer", status=200, headers=(), body=b""
        )


class TestStartupHandler(unittest.TestCase):
    def test_no_call_before_the_configuration_runs(self):
        """After a restart of all nodes no call runs under an older seq."""

        async def main(cluster):
            cluster.start_all()
            await anyio.sleep(5)
            await cluster.nodes["x1"].acceptor().publish(sample_profile.body())
            await anyio.sleep(1)
            for node_id in list(cluster.nodes):
                cluster.crash(node_id)
            cluster.start_all()
            recorders = {
                node_id: _SeqRecorder(node)
                for node_id, node in cluster.nodes.items()
            }
            for _ in range(STEPS):
                for node_id, handler in recorders.items():
                    await _call(cluster.nodes[node_id], handler)
                await anyio.sleep(STEP_S)
            for handler in recorders.values():
                self.assertEqual(set(handler.seqs), {1})

        cluster_module.run(main)


async def _call(node: cluster_module.Node, handler: _SeqRecorder) -> None:
    gated = startup_handler.StartupHandler(
        handler=handler, propagation=node.propagation
    )
    await gated.handle(method="GET", path="/a", headers=(), body=b"")
