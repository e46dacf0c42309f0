"""A seeded run of members that crash, restart and are partitioned."""

import collections
import random

import anyio

from tests.fakes import virtual_run
from tests.membership import cluster

FAULTS = 6
MAX_PAUSE_S = 4.0
# Covers suspicion, death, and a pull of the whole table with its delay.
SETTLE_S = 40.0


class RandomRun:
    """Injects faults, then checks that all views match the live members.

    Attributes:
        faults: Number of injected faults by kind.
    """

    def __init__(self, seed: int):
        self._seed = seed
        self._rng = random.Random(seed)
        self._incarnation = 1
        self.faults: collections.Counter[str] = collections.Counter()

    def execute(self) -> None:
        """Runs the whole scenario.

        Raises:
            AssertionError: The views differ after the faults have ended.
        """
        virtual_run.run(self._main, seed=self._seed)

    async def _main(self) -> None:
        async with anyio.create_task_group() as tasks:
            group = cluster.Cluster(tasks, per_data_centre=3)
            node_ids = sorted(group.members)
            await anyio.sleep(SETTLE_S)
            for _ in range(FAULTS):
                self._inject(group, node_ids)
                await anyio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))
            group.network.heal()
            await anyio.sleep(SETTLE_S)
            live = tuple((n, "serving") for n in sorted(group.members))
            views = {tuple(sorted(view)) for view in group.views()}
            assert views == {live}, f"seed {self._seed}: {views}"
            tasks.cancel_scope.cancel()

    def _inject(self, group: cluster.Cluster, node_ids: list[str]) -> None:
        kind = self._rng.choice(["kill", "restart", "cut", "heal"])
        self.faults[kind] += 1
        if kind == "cut":
            group.cut_off(self._rng.choice(["a1", "a2", "b1"]))
        elif kind == "heal":
            group.network.heal()
        elif kind == "kill" and len(group.members) > len(node_ids) // 2:
            group.kill(self._rng.choice(sorted(group.members)))
        else:
            self._restart(group, self._rng.choice(node_ids))

    def _restart(self, group: cluster.Cluster, node_id: str) -> None:
        if node_id in group.members:
            group.kill(node_id)
        # Higher than the incarnation of any refutation so far.
        self._incarnation += 1000
        group.start(node_id, incarnation=self._incarnation)
