"""Seeded runs of complete nodes whose targets crash under some requests.

By hand: `python -m tests.mesh.crash_run --seed 1 --count 50`.
"""

import argparse
import asyncio
import collections
import functools
import itertools
import json
import logging
import random
import typing

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
NOT_SERVED = 503


class Outcome(typing.NamedTuple):
    """What one run showed.

    Attributes:
        crashes: Crashes of targets by the deadly request.
        late_runs: Runs of the deadly request that began later than
            `CONTACT_S` after it had crashed the third target.
        innocent: Other requests.
        innocent_beside: Those that were running when a target crashed.
        innocent_quarantined: Answers that kept an innocent request out.
    """

    crashes: int
    late_runs: int
    innocent: int
    innocent_beside: int
    innocent_quarantined: int


class CrashRun:
    """Callers, a deadly request that comes again, crashes and restarts."""

    def __init__(self, fleet, seed, seconds):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.end_s = self.loop.time() + seconds
        self.deadly_runs_s = []
        self.crashes_s = []
        self.counts = collections.Counter()
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

    async def play(self, *, restart_node=False):
        """Plays one run and returns its outcome."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(CALLERS):
                tasks.create_task(self._call_innocent())
            tasks.create_task(self._call_deadly())
            tasks.create_task(self._crash_others())
            if restart_node:
                tasks.create_task(self._restart_nodes())
        await asyncio.gather(*self._restarts)
        late_s = float("inf")
        if len(self.crashes_s) >= TARGETS_ENDED:
            late_s = self.crashes_s[TARGETS_ENDED - 1] + CONTACT_S
        return Outcome(
            len(self.crashes_s),
            sum(at > late_s for at in self.deadly_runs_s),
            self.counts["innocent"],
            self.counts["innocent beside"],
            self.counts["innocent quarantined"],
        )

    def _record_run(self, _, attempt):
        if attempt.startswith("deadly"):
            self.deadly_runs_s.append(self.loop.time())

    def _record_crash(self, member, _, attempts):
        """Counts a crash and restarts the target some time later."""
        beside = sum(not name.startswith("deadly") for name in attempts)
        if beside < len(attempts):
            self.crashes_s.append(self.loop.time())
        self.counts["innocent beside"] += beside
        self._restarts.add(asyncio.create_task(self._restart(member)))

    async def _restart(self, member):
        await asyncio.sleep(self.rng.uniform(0.3, 1.2))
        await member.target.restart()
        control = member.settings.control_address
        while True:
            try:
                await member.target.announce(control)
            except exceptions.CallError:
                # Its node is restarting.
                await asyncio.sleep(0.1)
            else:
                return

    async def _call_innocent(self):
        while self.loop.time() < self.end_s:
            # Some requests are equal to earlier ones, others are new.
            draw = self.rng.random()
            if draw < 0.1:
                answer = await self._call(b"deadly", caller=b"other")
            elif draw < 0.2:
                answer = await self._call(b"deadly", name="y")
            elif draw < 0.5:
                number = self.rng.randrange(REPEATED_BODIES)
                answer = await self._call(b"%d" % number)
            else:
                kind = self.rng.choice(("idempotent", "non_idempotent"))
                body = b"new%d" % next(self._numbers)
                answer = await self._call(body, kind=kind)
            self.counts["innocent"] += 1
            if _is_quarantined(answer):
                self.counts["innocent quarantined"] += 1
            await asyncio.sleep(self.rng.uniform(0.0, 0.02))

    async def _call_deadly(self):
        while self.loop.time() < self.end_s:
            for _ in range(self.rng.choice((1, 1, 2))):
                await self._call(b"deadly", attempt=b"deadly-")
            await asyncio.sleep(self.rng.uniform(0.0, 2 * DEADLY_GAP_S))

    async def _call(self, body, *, kind="idempotent", name="x", **more):
        member = self.rng.choice(self.fleet.members)
        try:
            return await self.fleet.call(
                member,
                "b.example",
                f"/{kind}/{name}",
                method="POST",
                body=body,
                attempt=more.get("attempt", b"a") + b"%d" % next(self._numbers),
                headers=((b"authorization", more.get("caller", CALLER)),),
            )
        except exceptions.CallError:
            # The node is restarting.
            return None

    async def _crash_others(self):
        while self.loop.time() < self.end_s:
            await asyncio.sleep(self.rng.uniform(1.0, 4.0))
            count = self.rng.choice((1, 1, 2, 3))
            for member in self.rng.sample(self._members, count):
                member.target.crash()

    async def _restart_nodes(self):
        while self.loop.time() < self.end_s - 1.0:
            await asyncio.sleep(self.rng.uniform(1.0, 2.0))
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


def _is_quarantined(answer):
    if answer is None or answer.status != NOT_SERVED:
        return False
    return json.loads(answer.body)["error"] == "quarantined"


async def run(seed, seconds=8.0, *, restart_node=False):
    """Plays one seed and returns its outcome."""
    async with small_fleet.SmallFleet(*SERVICES) as fleet:
        return await CrashRun(fleet, seed, seconds).play(
            restart_node=restart_node
        )


def main():
    """Plays seeds and prints their outcomes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--restart-nodes", action="store_true")
    options = parser.parse_args()
    logging.disable(logging.WARNING)
    for seed in range(options.seed, options.seed + options.count):
        outcome = asyncio.run(
            run(seed, options.seconds, restart_node=options.restart_nodes)
        )
        print(f"seed={seed} {outcome}", flush=True)


if __name__ == "__main__":
    main()
