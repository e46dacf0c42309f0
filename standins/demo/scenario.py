"""The steps of the demo."""

import json
import pathlib
import signal
import time
import typing

from standins.demo import admin as admin_module
from standins.demo import convergence
from standins.demo import deployment as deployment_module
from standins.demo import instance as instance_module
from standins.demo import processes as processes_module
from standins.demo import traffic

READY_TIMEOUT_S = 60.0
MOVE_TIME = "+55s"
VERDICT_TIMEOUT_S = 80.0
# The first step of a move gets 5% of the calls, and the example policies
# require well over a hundred calls on each route before the next step.
GOOD_MOVE_RATE = 300
RATE = 90
POSTING_SHARE = 0.5
LOAD_S = 58
FAULT_ERROR_PERMILLE = 400
TARGET_NOTICE_S = 1.0


class Outcome(typing.NamedTuple):
    """Results of the demo.

    Attributes:
        verdicts: Phase and reason of each move, by service.
        changes: Propagation of each change.
        rates: Rates of control traffic.
        callers: Summaries of the callers, by service.
        repeated: Posting keys that ran more than once.
        node_status: Exit status of the node that was stopped.
        late_ms: Maximum time between the leave of a target and the start of a
            call there.
        problems: What failed, one sentence each.
    """

    verdicts: dict[str, tuple[str, str]]
    changes: list[convergence.Change]
    rates: traffic.Rates
    callers: dict[str, dict[str, typing.Any]]
    repeated: int
    node_status: int
    late_ms: int
    problems: list[str]


class Scenario:
    """Runs one deployment.

    Args:
        deployment: The deployment.
        folder: Folder for settings, logs and the time line.
    """

    def __init__(
        self, deployment: deployment_module.Deployment, folder: pathlib.Path
    ):
        self._deployment = deployment
        self._folder = folder
        self._instances = instance_module.plan(deployment)
        self._processes = processes_module.Processes(folder)
        self._admin = admin_module.Admin(self._instances)
        self._problems: list[str] = []

    def run(self) -> Outcome:
        """Runs all steps; always stops the processes that it started."""
        try:
            return self._run_steps()
        finally:
            self._processes.stop_all()

    def _run_steps(self) -> Outcome:
        self._start()
        self._publish()
        before = traffic.sample(self._admin, self._instances)
        self._inject_fault()
        self._start_callers()
        for service in (self._deployment.good_move, self._deployment.bad_move):
            _print_step(f"move {service} to v2 by {MOVE_TIME}")
            self._admin.json_tool(
                "move", "start", service, "--to", "v2", "--by", MOVE_TIME
            )
        killed = self._kill_node()
        node_status = self._stop_instance()
        verdicts = self._verdicts()
        after = traffic.sample(self._admin, self._instances)
        callers = self._wait_for_callers()
        events = self._events()
        self._write_time_line()
        repeated, late_ms = self._ledgers()
        _print_step(f"killed on the way: {killed}")
        return Outcome(
            verdicts,
            convergence.changes(events),
            traffic.rates(before, after),
            callers,
            repeated,
            node_status,
            late_ms,
            self._problems,
        )

    def _start(self) -> None:
        _print_step(
            f"start {len(self._instances)} targets and nodes, one platform"
        )
        platform = instance_module.free_addresses(1)[0]
        self._processes.start(
            "platform", "standins.platform", "--address", platform
        )
        seeds = [instance.peer_address for instance in self._seed_instances()]
        for number, instance in enumerate(self._instances):
            self._start_target(instance, number)
            path = instance_module.write_settings(
                instance,
                deployment=self._deployment,
                platform=platform,
                seeds=seeds,
                folder=self._folder,
            )
            self._processes.start(
                instance.node_id,
                "galenatack.app.daemon",
                "--settings",
                str(path),
            )
        late = self._admin.wait_until_ready(READY_TIMEOUT_S)
        if late:
            raise RuntimeError(f"not ready: {', '.join(late)}")

    def _seed_instances(self) -> list[instance_module.Instance]:
        """Returns one instance of each data centre."""
        first = {}
        for instance in self._instances:
            first.setdefault(instance.data_centre, instance)
        return list(first.values())

    def _start_target(
        self, instance: instance_module.Instance, number: int
    ) -> None:
        self._processes.start(
            f"target-{instance.node_id}",
            "standins.target",
            "--address",
            instance.target_address,
            "--service",
            instance.service,
            "--version",
            instance.version,
            "--slots",
            str(instance.slots),
            "--seed",
            str(number),
        )

    def _publish(self) -> None:
        for service in self._deployment.services:
            _print_step(f"publish and choose {service.profile_name}")
            self._admin.json_tool(
                "profile", "publish", str(service.profile_file), "--wait"
            )
            self._admin.json_tool(
                "profile",
                "choose",
                service.name,
                service.profile_name,
                "--version",
                service.versions[0],
                "--wait",
            )

    def _inject_fault(self) -> None:
        """Makes the posting route of the bad version fail."""
        service = self._service(self._deployment.bad_move)
        fault = {
            "error_permille": FAULT_ERROR_PERMILLE,
            "route": service.posting_path,
        }
        for instance in self._instances_of(service.name, "v2"):
            self._admin.post(instance.target_address, "/_target/faults", fault)

    def _start_callers(self) -> None:
        nodes = ",".join(instance.call_address for instance in self._instances)
        for number, service in enumerate(self._deployment.services):
            share = POSTING_SHARE if service.posting_path else 0.0
            is_good = service.name == self._deployment.good_move
            rate = GOOD_MOVE_RATE if is_good else RATE
            _print_step(f"call {service.name} at {rate}/s")
            self._processes.start(
                f"callers-{service.name}",
                "standins.callers",
                "--nodes",
                nodes,
                "--service",
                service.name,
                "--rate",
                str(rate),
                "--duration-s",
                str(LOAD_S),
                "--posting-share",
                str(share),
                "--read-path",
                service.read_path,
                "--posting-path",
                service.posting_path or "/none",
                "--seed",
                str(number + 1),
            )

    def _kill_node(self) -> str:
        """Kills a node of the service with the good move."""
        time.sleep(3.0)
        node = self._instances_of(self._deployment.good_move, "v1")[-1]
        _print_step(f"SIGKILL {node.node_id}")
        self._processes.kill(node.node_id)
        return node.node_id

    def _stop_instance(self) -> int:
        """Stops one instance gracefully; returns the node's exit status."""
        leaving = self._instances_of(self._deployment.bad_move, "v1")[1]
        _print_step(f"stop {leaving.node_id} and its target gracefully")
        self._admin.post(leaving.admin_address, "/admin/v1/target/leaving")
        self._admin.post(leaving.target_address, "/_target/drain")
        time.sleep(TARGET_NOTICE_S)
        self._processes.send(leaving.node_id, signal.SIGTERM)
        return self._processes.wait(leaving.node_id)

    def _verdicts(self) -> dict[str, tuple[str, str]]:
        verdicts = {}
        for service in (self._deployment.bad_move, self._deployment.good_move):
            verdicts[service] = self._verdict(service)
            phase, reason = verdicts[service]
            _print_step(f"verdict {service}: {phase} ({reason})")
        return verdicts

    def _verdict(self, service: str) -> tuple[str, str]:
        end_s = time.monotonic() + VERDICT_TIMEOUT_S
        address = self._instances[0].admin_address
        while time.monotonic() < end_s:
            status = self._admin.get(address, f"/admin/v1/moves/{service}")
            if status and status["final"]:
                path = self._folder / f"verdict-{service}.json"
                path.write_text(json.dumps(status, indent=2))
                return status["move"]["phase"], status["move"]["reason"]
            time.sleep(admin_module.POLL_S)
        return "none", "no verdict in time"

    def _wait_for_callers(self) -> dict[str, dict[str, typing.Any]]:
        summaries = {}
        for service in self._deployment.services:
            name = f"callers-{service.name}"
            self._processes.wait(name, timeout_s=LOAD_S)
            text = (self._folder / f"{name}.log").read_text()
            summaries[service.name] = json.loads(text.splitlines()[-1])
        return summaries

    def _events(self) -> list[dict[str, typing.Any]]:
        events = []
        for instance in self._instances:
            page = self._admin.get(instance.admin_address, "/admin/v1/events")
            events += page["events"] if page else []
        return events

    def _write_time_line(self) -> None:
        svg_file = self._folder / "timeline.svg"
        self._admin.tool("timeline", "--svg", str(svg_file))
        completed = self._admin.tool("timeline")
        (self._folder / "timeline.txt").write_text(completed.stdout)
        if not completed.stdout:
            self._problems.append(f"no time line: {completed.stderr}")

    def _ledgers(self) -> tuple[int, int]:
        """Returns the number of repeated keys and the maximum `late_ms`."""
        counts: dict[str, int] = {}
        ledgers = {}
        late_ms = 0
        for instance in self._instances:
            ledger = self._admin.get(instance.target_address, "/_target/ledger")
            ledgers[instance.node_id] = ledger
            late_ms = max(late_ms, ledger["late_ms"])
            for key, count in ledger["keys"].items():
                counts[key] = counts.get(key, 0) + count
        (self._folder / "ledgers.json").write_text(json.dumps(ledgers))
        return sum(count > 1 for count in counts.values()), late_ms

    def _instances_of(
        self, service: str, version: str
    ) -> list[instance_module.Instance]:
        return [
            instance
            for instance in self._instances
            if (instance.service, instance.version) == (service, version)
        ]

    def _service(self, name: str) -> deployment_module.Service:
        return next(
            service
            for service in self._deployment.services
            if service.name == name
        )


def _print_step(text: str) -> None:
    print(f"demo: {text}", flush=True)
