"""A seeded run of one move on four nodes with real reports."""

import collections
import random

import anyio

from galenatack.invariants import bad_version
from tests.fakes import virtual_run
from tests.moves import test_move_session

# The latest verdict is 10 s before the promised time of 120 s.
END_S = 118.0
# A later fault may not be detected before the verdict.
LATEST_ONSET_S = 60.0


class RandomRun:
    """Moves to a good version or to one that starts failing during the move.

    Attributes:
        faults: Number of runs by kind of version.
        calls: Calls on the new version.
    """

    def __init__(self, seed: int):
        self._seed = seed
        self.faults: collections.Counter[str] = collections.Counter()
        self.calls = 0

    def execute(self) -> None:
        """Runs the move to its verdict.

        Raises:
            AssertionError: A bad version got the verdict `done`, or calls
                too long after its withdrawal.
        """
        virtual_run.run(self._main, seed=self._seed)

    async def _main(self) -> None:
        rng = random.Random(self._seed)
        onset_s = rng.uniform(5.0, LATEST_ONSET_S)
        share = rng.choice([0.0, 0.3, 0.5, 0.9])
        async with anyio.create_task_group() as tasks:
            cluster = test_move_session.Cluster(tasks)
            await cluster.start()
            await cluster.traffic(onset_s)
            cluster.fail_share = share
            move = await cluster.traffic(END_S)
            tasks.cancel_scope.cancel()
        self.faults["bad version" if share else "good version"] += 1
        self.calls = len(cluster.new_calls_s)
        if not share:
            return
        where = f"seed {self._seed}, {share} from {onset_s:.1f} s"
        assert move.phase == "taken_back", f"{where}: {move.phase}"
        late_s = cluster.new_calls_s[-1] - min(cluster.withdrawn_s)
        assert late_s <= bad_version.WITHDRAWAL_BOUND_S, f"{where}: {late_s}"
