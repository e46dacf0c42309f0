"""Seeded runs of a fleet whose calls are refused, shed and retried.

By hand: `python -m bench.retries --seed 1 --count 50`.
"""

import argparse
import asyncio
import logging
import random
import types

from bench import retry_world
from tests.fakes import virtual_loop

OVERLOADED_CALLS_PER_S = {"outer": 350.0, "middle": 40.0, "inner": 40.0}
MAX_RETURNS = 1
STATUS_NOT_RUN = 503


class RetryRun:
    """Callers, targets in trouble, and nodes that come and go."""

    def __init__(self, world, seconds):
        self._world = world
        self._rng = world.rng
        self._seconds = seconds
        self._calls = set()
        self.sent = self.served = 0

    async def play(self, *, changes):
        """Plays a run; `changes` adds joins, restarts and cuts."""
        troubles = [
            asyncio.create_task(self._trouble_targets()),
            *(
                asyncio.create_task(change())
                for change in (self._join, self._restart, self._cut)
                if changes
            ),
        ]
        callers = [
            asyncio.create_task(self._call_often(service, per_s))
            for service, per_s in OVERLOADED_CALLS_PER_S.items()
        ]
        await asyncio.gather(*callers, *troubles)
        await asyncio.gather(*self._calls)

    async def _call_often(self, service, per_s):
        loop = asyncio.get_running_loop()
        per_s *= self._rng.uniform(0.7, 1.3)
        while loop.time() < self._seconds:
            await asyncio.sleep(self._rng.expovariate(per_s))
            task = asyncio.create_task(self._call(service))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def _call(self, service):
        """Sends a request; comes back once if it did not run or failed."""
        self.sent += 1
        for _ in range(1 + MAX_RETURNS):
            node = self._rng.choice(list(self._world.nodes.values()))
            result = await self._world.send(node, service)
            if result.status == 200:
                self.served += 1
                return
            if result.status == STATUS_NOT_RUN:
                left_s = retry_world.SERVICES[service].timeout_ms / 3000
                await asyncio.sleep(min(left_s, result.retry_after_ms / 1000))

    async def _trouble_targets(self):
        """Lets services shed and fail, for spans that overlap."""
        for _ in range(int(self._seconds / 4) + 1):
            for service in retry_world.SERVICES:
                shed_share = self._rng.choice((0.0, 0.3, 0.55, 0.8))
                failure_share = self._rng.choice((0.0, 0.3, 0.6))
                for target in self._world.of_service(service):
                    target.shed_share = shed_share
                    target.failure_share = failure_share
            await asyncio.sleep(4.0)

    async def _join(self):
        for number in range(4):
            await asyncio.sleep(self._rng.uniform(0.0, self._seconds / 4))
            service = self._rng.choice(list(retry_world.SERVICES.values()))
            self._world.add(f"{service.name}-new-{number}", service)
            await asyncio.sleep(0.3)
            self._world.tell_members()

    async def _restart(self):
        for _ in range(4):
            await asyncio.sleep(self._rng.uniform(0.5, self._seconds / 4))
            names = list(self._world.nodes)
            if self._rng.random() < 0.7:
                names = self._rng.sample(names, 2)
            for name in names:
                self._world.restart(name)
            await asyncio.sleep(0.3)
            self._world.tell_members()

    async def _cut(self):
        await asyncio.sleep(self._rng.uniform(1.0, self._seconds / 2))
        names = list(self._world.nodes)
        self._world.cut_off(self._rng.sample(names, len(names) // 2))
        await asyncio.sleep(self._rng.uniform(1.0, self._seconds / 2))
        self._world.cut_off(())


def run(seed, seconds, *, changes=False):
    """Plays one seed and returns its outcome.

    `excess` has the retries beyond the bound in the worst window, by service;
    no value is above 0 if the bound holds.
    """

    async def main():
        world = retry_world.RetryWorld(random.Random(seed))
        played = RetryRun(world, seconds)
        await played.play(changes=changes)
        return types.SimpleNamespace(
            sent=played.sent,
            served=played.served,
            retries={
                service: len(times)
                for service, times in world.ledger.retries.items()
            },
            excess={
                service: round(world.ledger.excess(service, world.slack), 1)
                for service in retry_world.SERVICES
            },
        )

    return virtual_loop.run(main)


def main():
    """Plays seeds and prints their outcomes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--changes", action="store_true")
    options = parser.parse_args()
    logging.disable(logging.WARNING)
    for seed in range(options.seed, options.seed + options.count):
        outcome = run(seed, options.seconds, changes=options.changes)
        print(f"seed={seed} {outcome}", flush=True)


if __name__ == "__main__":
    main()
