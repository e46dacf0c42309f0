"""Nodes as processes on loopback, beside a platform stand-in."""

import pathlib
import random
import socket
import typing

import httpx

from standins.demo import admin as admin_module
from standins.demo import deployment as deployment_module
from standins.demo import instance as instance_module
from standins.demo import processes as processes_module

# Below the ephemeral port range: an outgoing connection could otherwise take
# the port of a restarting node.
_PORTS = range(12_000, 32_000)
READY_TIMEOUT_S = 90.0
_PORTS_PER_NODE = 3
_SLOTS = 12


class Fleet:
    """`count` nodes across the data centres of a deployment, and one target.

    All nodes share one target stand-in, as these benchmarks send no calls.

    Args:
        count: Number of nodes.
        folder: Folder for settings and logs.
    """

    def __init__(self, count: int, folder: pathlib.Path):
        self._folder = folder
        self._deployment = deployment_module.load("cocotera")
        ports = iter(_free_ports(_PORTS_PER_NODE * count + 2))
        self._platform = next(ports)
        self._target = next(ports)
        self.instances = [
            self._instance(number, ports) for number in range(count)
        ]
        self.admin = admin_module.Admin(self.instances)
        self._processes = processes_module.Processes(folder)
        self._client = httpx.Client(trust_env=False, timeout=10.0)

    @property
    def services(self) -> tuple[deployment_module.Service, ...]:
        """The services of the deployment."""
        return self._deployment.services

    def start(self) -> None:
        """Starts all processes and waits until all nodes serve."""
        self._processes.start(
            "platform", "standins.platform", "--address", self._platform
        )
        self._start_target()
        for item in self.instances:
            self._write(item)
        self.start_nodes(self.instances)
        self.wait()

    def start_nodes(self, instances: list[instance_module.Instance]) -> None:
        """Starts nodes without waiting."""
        for item in instances:
            path = str(self._folder / f"{item.node_id}.yaml")
            self._processes.start(
                item.node_id, "galenatack.app.daemon", "--settings", path
            )

    def kill_nodes(self, instances: list[instance_module.Instance]) -> None:
        """Kills nodes with SIGKILL."""
        for item in instances:
            self._processes.kill(item.node_id)

    def wait(self) -> None:
        """Waits until all nodes serve; raises RuntimeError on a timeout."""
        late = self.admin.wait_until_ready(READY_TIMEOUT_S)
        if late:
            raise RuntimeError(f"not ready: {', '.join(late)}")

    def stop(self) -> None:
        """Stops all processes that were started."""
        self._processes.stop_all()

    def platform_stats(self) -> dict[str, int]:
        """Returns the platform's reads and writes so far."""
        return self._client.get(f"http://{self._platform}/_stats").json()

    def set_platform(self, **faults: typing.Any) -> None:
        """Sets faults of the platform."""
        url = f"http://{self._platform}/_faults"
        self._client.post(url, json=faults).raise_for_status()

    def metrics(self, item: instance_module.Instance) -> dict[str, float]:
        """Returns the metric samples of a node that have no labels."""
        text = self._client.get(f"http://{item.admin_address}/metrics").text
        pairs = (line.rsplit(" ", 1) for line in text.splitlines())
        return {name: float(value) for name, value in pairs if "{" not in name}

    def cancel_move(self, item: instance_module.Instance, service: str) -> None:
        """Cancels a move, which takes its traffic back."""
        url = f"http://{item.admin_address}/admin/v1/moves/{service}"
        self._client.delete(url).raise_for_status()

    def _instance(
        self, number: int, ports: typing.Iterator[str]
    ) -> instance_module.Instance:
        data_centres = list(self._deployment.regions)
        data_centre = data_centres[number % len(data_centres)]
        index = number // len(data_centres)
        service = self._deployment.services[
            index % len(self._deployment.services)
        ]
        return instance_module.Instance(
            node_id=f"node-{number:03}",
            service=service.name,
            version=service.versions[0],
            data_centre=data_centre,
            region=self._deployment.regions[data_centre],
            slots=_SLOTS,
            call_address=next(ports),
            peer_address=next(ports),
            admin_address=next(ports),
            target_address=self._target,
        )

    def _write(self, item: instance_module.Instance) -> None:
        seeds = self.instances[: len(self._deployment.regions)]
        instance_module.write_settings(
            item,
            deployment=self._deployment,
            platform=self._platform,
            seeds=[seed.peer_address for seed in seeds],
            folder=self._folder,
        )

    def _start_target(self) -> None:
        self._processes.start(
            "target",
            "standins.target",
            "--address",
            self._target,
            "--service",
            self._deployment.services[0].name,
            "--version",
            "v1",
            "--slots",
            str(_SLOTS),
            "--seed",
            "1",
        )


def _free_ports(count: int) -> list[str]:
    """Returns loopback addresses whose ports were just free."""
    # A random start makes collisions of concurrent runs unlikely.
    start = random.SystemRandom().randrange(len(_PORTS) - 4 * count)
    addresses: list[str] = []
    for port in _PORTS[start:]:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        addresses.append(f"127.0.0.1:{port}")
        if len(addresses) == count:
            return addresses
    raise RuntimeError(f"fewer than {count} free ports")
