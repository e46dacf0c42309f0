"""Runs the production decision code on one case, in virtual time."""

import random

import anyio

from bench import moves_cases
from bench import moves_result
from bench import moves_world
from galenatack.config import acceptor
from galenatack.messages import evidence
from galenatack.moves import evidence_counter
from galenatack.moves import fault_detector
from galenatack.moves import lease
from galenatack.moves import move_driver
from galenatack.moves import move_service
from galenatack.moves import version_picker
from galenatack.moves import warm_up
from galenatack.moves import withdrawals
from tests.fakes import event_list
from tests.fakes import memory_network
from tests.fakes import memory_objects
from tests.fakes import memory_table
from tests.fakes import sample_profile
from tests.fakes import virtual_clock
from tests.fakes import virtual_run

STEP_S = 0.1
EVALUATE_STEPS = 3
REPORT_STEPS = 5
NODES = 4
WATCHERS = 2
REPORT_DELAY_S = (0.002, 0.15)
LOST_REPORTS = 0.01
COUNTS = {"v1": 4, "v2": 4}

PROFILE = "prices-normal"


class _Gate:
    """Inbound gate of one target."""

    def __init__(self, version: str, target: int, clock):
        self.version = version
        self.target = target
        self.counter = evidence_counter.EvidenceCounter()
        self.warm = warm_up.WarmUp(clock=clock)

    def report(self, move_id: str, number: int) -> evidence.Evidence:
        return evidence.Evidence(
            move_id,
            f"{self.version}-{self.target}",
            1,
            number,
            moves_world.DATA_CENTRES[self.target],
            self.counter.report(),
        )


class _Node:
    """Caller side and fault detection of one node."""

    def __init__(self, number: int, network, clock, seed: int):
        self.node_id = f"n{number}"
        self.events = event_list.EventList(self.node_id)
        self.withdrawals = withdrawals.Withdrawals(
            clock=clock, peers=network.join(self.node_id), events=self.events
        )
        self.picker = version_picker.VersionPicker(
            clock=clock,
            rng=random.Random(seed + number),
            withdrawals=self.withdrawals,
        )


class Simulation:
    """One move: callers, gates, fault detectors and a driver."""

    def __init__(self, case: moves_cases.Case):
        self._case = case
        self._world = moves_world.World(case)
        self._clock = virtual_clock.VirtualClock()
        self._rng = random.Random(case.seed * 3 + 2)
        self._calls = 0
        self._fault_calls = 0
        self._first_fault_s = -1.0
        self._last_new_s = -1.0
        self._withdrawn_s = -1.0
        self._shown_s = -1.0
        self._pending: list[tuple[float, int, evidence.Evidence]] = []

    async def run(self) -> moves_result.Result:
        """Runs until the verdict or the promised time."""
        async with anyio.create_task_group() as tasks:
            network = memory_network.MemoryNetwork(
                tasks, rng=random.Random(self._case.seed)
            )
            self._nodes = [
                _Node(number, network, self._clock, self._case.seed * 11)
                for number in range(NODES)
            ]
            await self._start()
            for node in self._nodes:
                node.withdrawals.subscribe(self._on_withdrawn)
            driver = self._driver(self._nodes[0])
            tasks.start_soon(driver.run)
            await self._run_traffic()
            tasks.cancel_scope.cancel()
        return self._result

    async def _start(self) -> None:
        self._table = memory_table.MemoryTable()
        self._writer = acceptor.Acceptor(
            table=self._table,
            objects=memory_objects.MemoryObjects(),
            clock=self._clock,
            rng=self._rng,
            events=event_list.EventList(),
        )
        await self._writer.publish(sample_profile.body(PROFILE))
        await self._writer.choose("prices", profile=PROFILE, version="v1")
        self._service = move_service.MoveService(
            writer=self._writer, clock=self._clock, rng=self._rng
        )
        self._move = await self._service.start(
            "prices",
            to_version="v2",
            by_ms=self._clock.wall_ms() + int(self._case.duration_s * 1000),
        )
        self._started_s = self._clock.monotonic_s()
        self._gates = {
            (version, target): _Gate(version, target, self._clock)
            for version in COUNTS
            for target in range(COUNTS[version])
        }
        # The new target that is activated first; its data centre depends on the
        # case.
        self._active = self._rng.randrange(COUNTS["v2"])
        self._detectors = [
            self._make_detector(node) for node in self._nodes[:WATCHERS]
        ]
        self._oracle = self._make_detector(self._nodes[0])

    def _make_detector(self, node: _Node) -> fault_detector.FaultDetector:
        return fault_detector.FaultDetector(
            move=self._move,
            policy=moves_cases.POLICIES[self._case.deployment],
            node_id=node.node_id,
            clock=self._clock,
            events=node.events,
            withdrawals=node.withdrawals,
        )

    def _driver(self, node: _Node) -> move_driver.MoveDriver:
        return move_driver.MoveDriver(
            move=self._move,
            policy=moves_cases.POLICIES[self._case.deployment],
            detector=self._detectors[0],
            withdrawals=node.withdrawals,
            lease=lease.Lease(
                service="prices",
                node_id=node.node_id,
                incarnation=1,
                table=self._table,
                clock=self._clock,
            ),
            writer=self._writer,
            clock=self._clock,
            events=node.events,
            rank=lambda: 0,
            target_count=lambda: COUNTS["v2"],
        )

    async def _run_traffic(self) -> None:
        steps = int(self._case.duration_s / STEP_S)
        for step in range(steps):
            await self._clock.sleep_s(STEP_S)
            now_s = self._elapsed_s()
            for _ in range(self._world.calls_in(now_s, STEP_S)):
                self._call(now_s)
            self._send_reports(step, now_s)
            if step % EVALUATE_STEPS == 0:
                for watch in self._detectors:
                    await watch.evaluate_once()
            if step % REPORT_STEPS == 0:
                await self._update_move()
            if self._move.phase != "running":
                break
        self._result = await self._finish()

    def _call(self, now_s: float) -> None:
        rng = self._rng
        node = self._nodes[rng.randrange(NODES)]
        route = self._world.route()
        version = node.picker.pick(self._move, COUNTS, route=route)
        target = rng.randrange(COUNTS[version])
        if version == "v2" and self._move.active_targets:
            chosen = rng.randrange(self._move.active_targets)
            target = (self._active + chosen) % COUNTS["v2"]
        outcome = self._world.call(now_s, version, target, route)
        if outcome is None:
            return
        gate = self._gates[version, target]
        gate.counter.record(
            route,
            version,
            is_error=outcome.is_error,
            latency_ms=outcome.latency_ms,
            is_warm=gate.warm.is_warm(),
        )
        self._calls += 1
        if version == "v2":
            self._last_new_s = now_s
        if outcome.met_fault:
            self._fault_calls += 1
            if self._first_fault_s < 0:
                self._first_fault_s = now_s

    def _send_reports(self, step: int, now_s: float) -> None:
        if step % REPORT_STEPS == REPORT_STEPS - 1:
            number = step // REPORT_STEPS + 1
            for gate in self._gates.values():
                report = gate.report(self._move.move_id, number)
                self._oracle.add(report)
                for watch in range(WATCHERS):
                    if self._rng.random() < LOST_REPORTS:
                        continue
                    at_s = now_s + self._rng.uniform(*REPORT_DELAY_S)
                    self._pending.append((at_s, watch, report))
            self._consult_oracle(now_s)
        late = []
        for at_s, watch, report in self._pending:
            if at_s <= now_s:
                self._detectors[watch].add(report)
            else:
                late.append((at_s, watch, report))
        self._pending = late

    def _consult_oracle(self, now_s: float) -> None:
        if self._shown_s >= 0.0 or self._case.kind == moves_cases.GOOD:
            return
        if self._oracle.judge_new() is not None:
            self._shown_s = now_s

    async def _update_move(self) -> None:
        """Updates the move from its row, so nodes lag writes by up to 0.5 s."""
        self._move = await self._service.verdict("prices")

    def _on_withdrawn(self, message: object) -> None:
        del message
        if self._withdrawn_s < 0:
            self._withdrawn_s = self._elapsed_s()

    def _elapsed_s(self) -> float:
        return self._clock.monotonic_s() - self._started_s

    async def _finish(self) -> moves_result.Result:
        """Waits for the verdict and returns the result."""
        verdict_s = self._elapsed_s()
        while self._move.phase == "running":
            await self._clock.sleep_s(STEP_S)
            await self._update_move()
        in_time = verdict_s <= self._case.duration_s - 9.0
        return moves_result.Result(
            self._case,
            self._move.phase,
            verdict_s,
            self._calls,
            self._fault_calls,
            self._first_fault_s,
            self._shown_s,
            self._last_new_s,
            self._withdrawn_s,
            self._move.reason,
            self._move.phase == "done" and in_time,
        )


def run(case: moves_cases.Case) -> moves_result.Result:
    """Runs one case."""
    return virtual_run.run(Simulation(case).run, seed=case.seed)
