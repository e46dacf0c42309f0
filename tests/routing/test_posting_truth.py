"""Tests that postings run at most once and that their outcomes are correct."""

import collections
import random
import unittest

import anyio

from tests.fakes import truthful_target
from tests.routing import test_outbound_proxy

_KEYS = 120


class TestPostingTruth(unittest.TestCase):
    def test_random_faults(self):
        """Under random faults, partitions and retries, no key runs twice.

        A key whose attempts all returned `not-run` never started. Each answer
        belongs to the key of its call.
        """
        for seed in range(12):
            self._run(seed)

    def _run(self, seed: int) -> None:
        rng = random.Random(seed)
        outcomes_by_key: dict[str, list[str]] = collections.defaultdict(list)
        targets = []

        async def scenario(rig):
            for node in rig.nodes:
                targets.append(truthful_target.TruthfulTarget(rng))
                node.gate._dispatcher._link = targets[-1]
            async with anyio.create_task_group() as cuts:
                cuts.start_soon(_cut_links, rig, rng)
                async with anyio.create_task_group() as tasks:
                    for number in range(_KEYS):
                        key = f"k{number}"
                        tasks.start_soon(
                            self._post, rig, rng, key, outcomes_by_key[key]
                        )
                        await anyio.sleep(0.02)
                cuts.cancel_scope.cancel()
            await anyio.sleep(2)

        test_outbound_proxy.run_rig(scenario, seed=seed)
        ran = sum((target.ran for target in targets), collections.Counter())
        outcomes = collections.Counter(sum(outcomes_by_key.values(), []))
        self.assertEqual(len(outcomes), 3, outcomes)
        for key, key_outcomes in outcomes_by_key.items():
            self.assertLessEqual(ran[key], 1, f"{seed} {key} {key_outcomes}")
            if set(key_outcomes) == {"not-run"}:
                self.assertEqual(ran[key], 0, f"{seed} {key} {key_outcomes}")
            if "answer" in key_outcomes:
                self.assertEqual(ran[key], 1, f"{seed} {key}")

    async def _post(self, rig, rng, key: str, outcomes: list[str]) -> None:
        for _ in range(3):
            deadline_ms = rng.choice((50, 200, 1000))
            result = await rig.post(key, rng.randrange(3), deadline_ms)
            outcomes.append(result.outcome)
            if result.outcome == "answer":
                self.assertEqual(result.body, f"/offers {key}".encode())
                return
            await anyio.sleep(rng.random())


async def _cut_links(rig, rng) -> None:
    while True:
        await anyio.sleep(rng.random() / 2)
        rig.network.cut("n0", f"n{rng.randrange(1, 3)}")
        await anyio.sleep(rng.random() / 4)
        rig.network.heal()
