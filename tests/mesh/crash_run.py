"""Seeded runs of complete nodes whose targets crash under some requests.

By hand: `python -m tests.mesh.crash_run --seed 1 --count 50`.
"""

import argparse
import asyncio
import functools
import itertools
import logging
import random
import types

from galenatack import exceptions
from tests.mesh import small_fleet

SERVICES = ("a", "b", "b", "b", "b")
CALLER = b"caller"
TARGETS_ENDED = 3
CONTACT_S = 4.0
ALLOWED_LATE_RUNS = 3
DEADLY_GAP_S = 0.25
CALLERS = 8
REPEATED_BODIES = 6


class CrashRun:
    """Callers, a deadly request that comes again, crashes and restarts."""

    def __init__(self, fleet, seed, seconds):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.end_s = self.loop.time() + seconds
        self.deadly_runs_s = []
        self.crashes_s = []
        self.innocent = self.beside = self.quarantined = 0
        self._numbers = itertools.count()
        self._restarts = set()
        self._members = [m for m in fleet.members if m.target.service == "b"]
        for member in self._members:
            target = member.target
            target.is_deadly = _is_deadly
            target.work_s = self.rng.uniform(0.01, 0.06)
            target.crash_delay_s = self.rng.uniform(0.005, 0.08)
            target.on_run = self._record_run
            target.on_crash = functools.partial(self._record_crash, member)

    async def play(self, *, restart_nodes):
        """Plays one run and returns what it showed.

        Late runs of the deadly request are those that begin later than
        `CONTACT_S` after it has crashed the third target.
        """
        async with asyncio.TaskGroup() as tasks:
            for _ in range(CALLERS):
                tasks.create_task(self._repeat(0.02, self._call_innocent))
            tasks.create_task(self._repeat(2 * DEADLY_GAP_S, self._call_deadly))
            tasks.create_task(self._repeat(4.0, self._crash_others))
            if restart_nodes:
                tasks.create_task(self._repeat(3.0, self._restart_nodes))
        await asyncio.gather(*self._restarts)
        late_s = float("inf")
        if len(self.crashes_s) >= TARGETS_ENDED:
            late_s = self.crashes_s[TARGETS_ENDED - 1] + CONTACT_S
        return types.SimpleNamespace(
            crashes=len(self.crashes_s),
            late_runs=sum(at > late_s for at in self.deadly_runs_s),
            innocent=self.innocent,
            innocent_beside=self.beside,
            innocent_quarantined=self.quarantined,
        )

    async def _repeat(self, max_gap_s, action):
        while self.loop.time() < self.end_s:
            await asyncio.sleep(self.rng.uniform(0.0, max_gap_s))
            await action()

    def _record_run(self, _, attempt):
        if attempt.startswith("deadly"):
            self.deadly_runs_s.append(self.loop.time())

    def _record_crash(self, member, _, attempts):
        """Counts a crash and restarts the target some time later."""
        beside = sum(not name.startswith("deadly") for name in attempts)
        if beside < len(attempts):
            self.crashes_s.append(self.loop.time())
        self.beside += beside
        self._restarts.add(asyncio.create_task(self._restart(member)))

    async def _restart(self, member):
        await asyncio.sleep(self.rng.uniform(0.3, 1.2))
        await member.target.restart()
        while True:
            try:
                await member.target.announce(member.settings.control_address)
            except exceptions.CallError:
                # Its node is restarting.
                await asyncio.sleep(0.1)
            else:
                return

    async def _call_innocent(self):
        """Calls alike but for one part, such as come again, or new ones."""
        number = next(self._numbers)
        more = self.rng.choice(
            (
                {"caller": b"other"},
                {"name": "y"},
                {"body": b"%d" % self.rng.randrange(REPEATED_BODIES)},
                {"body": b"new%d" % number},
                {"body": b"new%d" % number, "kind": "non_idempotent"},
            )
        )
        answer = await self._call(**more)
        self.innocent += 1
        self.quarantined += answer is not None and b"quarant" in answer.body

    async def _call_deadly(self):
        for _ in range(self.rng.choice((1, 1, 2))):
            await self._call(attempt=b"deadly-")

    async def _call(self, *, kind="idempotent", name="x", **more):
        try:
            return await self.fleet.call(
                self.rng.choice(self.fleet.members),
                "b.example",
                f"/{kind}/{name}",
                method="POST",
                body=more.get("body", b"deadly"),
                attempt=more.get("attempt", b"a") + b"%d" % next(self._numbers),
                headers=((b"authorization", more.get("caller", CALLER)),),
            )
        except exceptions.CallError:
            # The node is restarting.
            return None

    async def _crash_others(self):
        count = self.rng.choice((1, 1, 2, 3))
        for member in self.rng.sample(self._members, count):
            member.target.crash()

    async def _restart_nodes(self):
        members = self.fleet.members
        if self.rng.random() < 0.7:
            members = [self.rng.choice(members)]
        for member in members:
            member.task.cancel()
        await asyncio.gather(
            *(member.task for member in members), return_exceptions=True
        )
        for member in members:
            await member.parts.target.close()
            member.rebuild(self.fleet.store)
            member.task = asyncio.create_task(member.node.run())


def _is_deadly(request):
    caller = dict(request.headers)["authorization"].encode()
    path = request.target.rpartition("/")[2]
    return (caller, path, request.body) == (CALLER, "x", b"deadly")


async def run(seed, seconds, *, restart_nodes=False, regions=("region",)):
    """Plays one seed and returns its outcome."""
    async with small_fleet.SmallFleet(*SERVICES, regions=regions) as fleet:
        return await CrashRun(fleet, seed, seconds).play(
            restart_nodes=restart_nodes
        )


def main():
    """Plays seeds and prints their outcomes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--restart-nodes", action="store_true")
    parser.add_argument("--regions", type=int, default=1)
    options = parser.parse_args()
    logging.disable(logging.WARNING)
    for seed in range(options.seed, options.seed + options.count):
        outcome = asyncio.run(
            run(
                seed,
                options.seconds,
                restart_nodes=options.restart_nodes,
                regions=tuple(f"region-{n}" for n in range(options.regions)),
            )
        )
        print(f"seed={seed} {outcome}", flush=True)


if __name__ == "__main__":
    main()
