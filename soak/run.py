"""One run: load, faults and the final checks."""

import asyncio
import collections.abc
import pathlib
import random
import typing

from soak import callers
from soak import change_plan
from soak import config_promises
from soak import config_series
from soak import disruption
from soak import fault
from soak import fleet
from soak import injector
from soak import loopback
from soak import node_process
from soak import plan
from soak import promises
from soak import record
from soak import rollout
from soak import route_callers

CALLERS_PER_NODE = 2
MAX_RECOVERY_S = 15.0
SETTLE_S = 4.5
"""Time after the last fault until nodes are connected again."""

RESTORES_S = 1.5 * rollout.DURATION_S
VERDICT_S = 2.0 * rollout.DURATION_S
"""Longest time after the last fault until a rollout has its verdict."""

CALM_S = 3.0
DEADLY_GAP_S = 0.4
"""Mean time between two deadly requests."""

WATCH_S = 0.5
STARVED_S = 0.8
STALL_S = 0.3
"""A timer that fires this late shows that the machine is too busy for time
bounds of seconds; such a time span counts as faulty."""


class Result(typing.NamedTuple):
    """Result of a run.

    Attributes:
        findings: Broken promises; empty if all were kept.
        summary: Number of calls by status or error.
        faults: Injected faults.
    """

    findings: list[str]
    summary: str
    faults: list[str]


class SoakRun:
    """One run of a seed.

    Args:
        seed: Seed of the faults and the load.
        nodes: Number of node processes.
        seconds: Length of the faulty part.
        has_deadly: Whether a request that crashes targets comes again and
            again.
        has_restores: Whether the store is restored from copies while a version
            is rolled out.
        has_reader_faults: Whether the store is silent to those who follow it,
            or lags behind after it lost its history.
        has_changes: Whether a large configuration changes all the time, in
            place of the other faults.
        product: Folder with the checkout that is run.
        folder: Folder for settings and logs.
    """

    def __init__(
        self,
        *,
        seed: int,
        nodes: int,
        seconds: float,
        folder: pathlib.Path,
        has_deadly: bool = False,
        has_restores: bool = False,
        has_reader_faults: bool = False,
        has_changes: bool = False,
        product: pathlib.Path = node_process.ROOT,
    ):
        self._seed = seed
        self._seconds = seconds
        self._has_deadly = has_deadly
        self._has_restores = has_restores
        self._has_reader_faults = has_reader_faults
        self._has_changes = has_changes
        self._rng = random.Random(seed)
        self._seen = record.Record()
        self._world = fleet.Fleet(
            nodes=nodes,
            base=loopback.free_base(seed=seed, nodes=nodes),
            folder=folder,
            seen=self._seen,
            rng=self._rng,
            product=product,
            series=(
                config_series.ConfigSeries(
                    services=fleet.SERVICES,
                    rng=random.Random(f"{seed} series"),
                )
                if has_changes
                else None
            ),
        )

    async def execute(self) -> Result:
        """Executes the run and checks the promises."""
        draw = change_plan.draw if self._has_changes else plan.draw
        faults = draw(
            seed=self._seed,
            nodes=len(self._world.nodes),
            seconds=self._seconds,
        )
        if self._has_restores:
            self._world.add_version()
            faults += plan.draw_restores(seed=self._seed, seconds=RESTORES_S)
        if self._has_reader_faults:
            faults += plan.draw_reader_faults(
                seed=self._seed,
                nodes=len(self._world.nodes),
                seconds=self._seconds,
            )
        faults = tuple(sorted(faults, key=lambda item: item.at_s))
        findings = []
        try:
            findings = await self._run_faults(faults)
        except fleet.StartError as error:
            findings = [str(error)]
        finally:
            await self._world.close()
        summary = promises.summary(self._seen.attempts)
        if self._has_changes:
            summary += f"; {config_promises.summary(self._seen)}"
        if self._seen.starved:
            summary += f"; {'; '.join(self._seen.starved)}"
        return Result(
            findings=findings,
            summary=summary,
            faults=[f"{f.at_s:.1f} {f.kind.value} {f.node}" for f in faults],
        )

    async def _run_faults(
        self, faults: collections.abc.Sequence[fault.Fault]
    ) -> list[str]:
        await self._world.start()
        # Nodes need some time to discover each other's targets.
        await asyncio.sleep(SETTLE_S)
        tasks = [
            asyncio.create_task(caller)
            for node in self._world.nodes
            for caller in self._load(node)
        ]
        tasks.append(asyncio.create_task(self._watch_processes()))
        deadly = [
            asyncio.create_task(
                self._client(node).call_deadly(
                    gap_s=DEADLY_GAP_S * len(self._world.nodes)
                )
            )
            for node in self._world.nodes
            if self._has_deadly
        ]
        bursts = [
            asyncio.create_task(self._route_client(node).burst())
            for node in self._world.nodes
            if self._has_changes
        ]
        tasks += deadly + bursts
        if self._has_restores or self._has_changes:
            tasks.append(asyncio.create_task(self._world.rollout.watch()))
        if self._has_restores:
            self._world.rollout.order()
        try:
            await injector.Injector(world=self._world, seen=self._seen).run(
                faults
            )
            for task in deadly + bursts:
                task.cancel()
            await self._world.until_ready(MAX_RECOVERY_S)
            if self._has_restores:
                await self._until_verdict()
            await asyncio.sleep(SETTLE_S)
            calm_from_s = asyncio.get_running_loop().time()
            await asyncio.sleep(CALM_S)
        finally:
            for task in tasks:
                task.cancel()
            ended = await asyncio.gather(*tasks, return_exceptions=True)
        for outcome in ended:
            if isinstance(outcome, Exception):
                raise outcome
        for node in self._world.nodes:
            self._seen.exits.extend(node.log_faults())
        found = promises.check(self._seen, calm_from_s=calm_from_s)
        return found + config_promises.check(self._seen)

    async def _until_verdict(self) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + VERDICT_S
        while loop.time() < end_s and self._seen.states[-1].state not in (
            promises.COMPLETED,
            promises.ROLLED_BACK,
        ):
            await asyncio.sleep(WATCH_S)

    def _load(
        self, node: node_process.NodeProcess
    ) -> collections.abc.Iterator[collections.abc.Coroutine]:
        """Yields the caller coroutines of a node."""
        client = self._client(node)
        yield from (client.call() for _ in range(CALLERS_PER_NODE))
        yield client.probe()
        yield client.call_in_part()
        if self._has_changes:
            yield self._route_client(node).probe()

    def _route_client(
        self, node: node_process.NodeProcess
    ) -> route_callers.RouteCallers:
        return route_callers.RouteCallers(
            node=node,
            series=self._world.series,
            services=tuple(node.service for node in self._world.nodes),
            seen=self._seen,
            rng=self._rng,
        )

    def _client(self, node: node_process.NodeProcess) -> callers.Callers:
        return callers.Callers(
            node=node,
            services=fleet.SERVICES,
            seen=self._seen,
            rng=self._rng,
        )

    async def _watch_processes(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            expected_s = loop.time() + WATCH_S
            await asyncio.sleep(WATCH_S)
            if loop.time() - expected_s > STALL_S:
                self._seen.unplanned.append(
                    record.Span(
                        expected_s, loop.time(), "the machine is too busy"
                    )
                )
                self._seen.disruptions.append(
                    disruption.Disruption(expected_s, loop.time(), is_slow=True)
                )
            for node in self._world.nodes:
                starved_s = node.starved_s()
                if starved_s > STARVED_S:
                    self._seen.starved.append(
                        f"{node.name} waited {starved_s:.1f} s for a"
                        f" processor before {loop.time():.1f}"
                    )
                for problem in (node.exit_fault(), node.resident_fault()):
                    if problem:
                        self._seen.exits.append(problem)
