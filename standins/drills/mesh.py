"""The small deployment on loopback used by the drills."""

import copy
import json
import pathlib
import time
import typing

import yaml

from standins.demo import admin as admin_module
from standins.demo import deployment as deployment_module
from standins.demo import instance as instance_module
from standins.demo import processes as processes_module

READY_TIMEOUT_S = 40.0
CALLERS_TIMEOUT_S = 60.0
SERVICE = "weighbridge"
PROFILE = "weighbridge-standard"
READ_PATH = "/stock"
POSTING_PATH = "/settlements"


class Mesh:
    """One service in 4 data centres of 2 regions, with its platform.

    Args:
        folder: Folder for settings and logs.
        versions: Versions of the targets; the first one is chosen.
        copies: Instances of each version in each data centre.
        slots: Number of concurrent calls of each target.
        target_options: Additional command-line options of the targets.
        profile_changes: Overrides of the example's profile: fields of each
            route by `routes`, fields of the limits by `limits`.

    Attributes:
        admin: Client for the nodes, the targets and the platform.
        processes: The processes of this drill.
        instances: All targets with their nodes.
        platform: Address of the platform.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        versions: tuple[str, ...] = ("v1",),
        copies: int = 2,
        slots: int = 12,
        target_options: tuple[str, ...] = (),
        profile_changes: dict[str, typing.Any] | None = None,
    ):
        example = deployment_module.load("cocotera")
        service = next(
            item for item in example.services if item.name == SERVICE
        )
        service = service._replace(versions=versions, slots=slots)
        self._deployment = example._replace(services=(service,))
        self._folder = folder
        self._target_options = target_options
        self._profile = _override(service.profile_file, profile_changes or {})
        self.instances = instance_module.plan(self._deployment, copies=copies)
        self.platform = instance_module.free_addresses(1)[0]
        self.processes = processes_module.Processes(folder)
        self.admin = admin_module.Admin(self.instances)
        self._platform_by_node: dict[str, str] = {}

    def __enter__(self) -> "Mesh":
        """Starts all processes and chooses the first version."""
        try:
            self._start()
        except BaseException:
            self.processes.stop_all()
            raise
        return self

    def __exit__(self, *error) -> None:
        """Stops all processes that the drill started."""
        self.processes.stop_all()

    def instances_in(self, data_centre: str) -> list[instance_module.Instance]:
        """Returns the instances of a data centre."""
        return [
            item for item in self.instances if item.data_centre == data_centre
        ]

    def data_centres(self) -> list[str]:
        """Returns the data centres, ordered by region."""
        return list(self._deployment.regions)

    def use_platform(self, node_ids: typing.Iterable[str], address: str):
        """Sets the platform address for the next start of nodes."""
        self._platform_by_node.update(dict.fromkeys(node_ids, address))

    def start_node(self, item: instance_module.Instance) -> None:
        """Starts the node of an instance."""
        seeds = {}
        for other in self.instances:
            seeds.setdefault(other.data_centre, other.peer_address)
        path = instance_module.write_settings(
            item,
            deployment=self._deployment,
            platform=self._platform_by_node.get(item.node_id, self.platform),
            seeds=list(seeds.values()),
            folder=self._folder,
        )
        self.processes.start(
            item.node_id, "galenatack.app.daemon", "--settings", str(path)
        )

    def wait_until_ready(self) -> None:
        """Waits until all nodes serve.

        Raises:
            RuntimeError: Some nodes are not ready in time.
        """
        late = self.admin.wait_until_ready(READY_TIMEOUT_S)
        if late:
            raise RuntimeError(f"not ready: {', '.join(late)}")

    def publish(self, *, at: int = 0, timeout_s: float = 10.0) -> int:
        """Publishes the profile once more and returns the seq."""
        answer = self.admin.post(
            self.instances[at].admin_address,
            "/admin/v1/profiles",
            {"profile": self._profile},
            timeout_s=timeout_s,
        )
        if "seq" not in answer:
            raise RuntimeError(f"publish: {answer}")
        return answer["seq"]

    def running(
        self, items: list[instance_module.Instance] | None = None
    ) -> dict[str, int]:
        """Returns the seq in force on each node that answers."""
        states = {
            item.node_id: self.admin.get(item.admin_address, "/admin/v1/node")
            for item in items or self.instances
        }
        return {
            node_id: state["running_seq"]
            for node_id, state in states.items()
            if state
        }

    def wait_for_seq(
        self,
        seq: int,
        items: list[instance_module.Instance] | None = None,
        *,
        timeout_s: float = 20.0,
    ) -> float | None:
        """Returns the seconds until all nodes run `seq`; None if too late."""
        start_s = time.monotonic()
        instances = items or self.instances
        while time.monotonic() - start_s < timeout_s:
            seqs = self.running(instances)
            if len(seqs) == len(instances) and min(seqs.values()) >= seq:
                return time.monotonic() - start_s
            time.sleep(admin_module.POLL_S)
        return None

    def start_callers(
        self,
        name: str,
        items: list[instance_module.Instance],
        **options: typing.Any,
    ) -> None:
        """Starts callers that send to the given nodes."""
        values = {
            "nodes": ",".join(item.call_address for item in items),
            "service": SERVICE,
            "read_path": READ_PATH,
            "posting_path": POSTING_PATH,
            **options,
        }
        args = []
        for key, value in values.items():
            args += [f"--{key.replace('_', '-')}", str(value)]
        self.processes.start(name, "standins.callers", *args)

    def wait_for_callers(self, name: str) -> dict[str, typing.Any]:
        """Waits for callers to end and returns their summary."""
        self.processes.wait(name, timeout_s=CALLERS_TIMEOUT_S)
        text = (self._folder / f"{name}.log").read_text()
        return json.loads(text.splitlines()[-1])

    def ledgers(self) -> dict[str, dict[str, typing.Any]]:
        """Returns the ledger of each target by node id."""
        return {
            item.node_id: self.admin.get(item.target_address, "/_target/ledger")
            for item in self.instances
        }

    def repeated(self) -> int:
        """Returns the number of keys that ran more than once."""
        counts: dict[str, int] = {}
        for ledger in self.ledgers().values():
            for key, count in ledger["keys"].items():
                counts[key] = counts.get(key, 0) + count
        return sum(count > 1 for count in counts.values())

    def events(
        self, item: instance_module.Instance, kind: str
    ) -> list[dict[str, str]]:
        """Returns the facts of a node's events of one kind."""
        answer = self.admin.get(item.admin_address, "/admin/v1/events")
        return [
            dict(event["facts"])
            for event in (answer or {"events": []})["events"]
            if event["kind"] == kind
        ]

    def platform_stats(self) -> dict[str, typing.Any]:
        """Returns the counters of the platform."""
        return self.admin.get(self.platform, "/_stats")

    def platform_faults(self, **faults: typing.Any) -> None:
        """Sets faults of the platform."""
        self.admin.post(self.platform, "/_faults", faults)

    def cut(
        self, items: list[instance_module.Instance], names: list[str]
    ) -> None:
        """Partitions nodes from data centres; an empty list heals."""
        for item in items:
            self.admin.post(
                item.admin_address, "/admin/v1/faults", {"cut": names}
            )

    def _start(self) -> None:
        self.processes.start(
            "platform", "standins.platform", "--address", self.platform
        )
        for number, item in enumerate(self.instances):
            self._start_target(item, number)
            self.start_node(item)
        self.wait_until_ready()
        self.publish()
        answer = self.admin.post(
            self.instances[0].admin_address,
            f"/admin/v1/services/{SERVICE}",
            {
                "profile": PROFILE,
                "version": self._deployment.services[0].versions[0],
            },
        )
        if self.wait_for_seq(answer["seq"]) is None:
            raise RuntimeError("the first profile is not in force everywhere")

    def _start_target(
        self, item: instance_module.Instance, number: int
    ) -> None:
        self.processes.start(
            f"target-{item.node_id}",
            "standins.target",
            *("--address", item.target_address),
            *("--service", item.service),
            *("--version", item.version),
            *("--slots", str(item.slots)),
            *("--seed", str(number)),
            *self._target_options,
        )


def _override(
    path: pathlib.Path, changes: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    profile = copy.deepcopy(yaml.safe_load(path.read_text(encoding="utf-8")))
    for route in profile["routes"]:
        route.update(changes.get("routes", {}))
    profile["limits"].update(changes.get("limits", {}))
    return profile
