"""Real daemons with stand-ins for the latency benchmark."""

import os
import pathlib

import yaml

from bench import free_ports
from standins.demo import admin as admin_module
from standins.demo import deployment
from standins.demo import instance as instance_module
from standins.demo import processes as processes_module

_READY_TIMEOUT_S = 30.0
_SERVICE_MS = 5.0
_DATA_CENTRE = "tartu"
_SERVICES = ("catalogue", "jobs")
_STAT_UTIME = 11
_STAT_STIME = 12


class LatencyFleet:
    """A platform, an echo server and two nodes with a target each.

    All calls go to the service of the first node's target; a call that
    enters at the second node is forwarded between the nodes.

    Args:
        folder: Folder for settings and logs.

    Attributes:
        instances: The two instances.
        echo_address: host:port of the echo server.
    """

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        example = deployment.load("tartu")
        self._deployment = example._replace(
            regions={_DATA_CENTRE: example.regions[_DATA_CENTRE]},
            services=tuple(
                service._replace(versions=service.versions[:1])
                for service in example.services
                if service.name in _SERVICES
            ),
        )
        self.instances = instance_module.plan(self._deployment)
        self._processes = processes_module.Processes(folder)
        echo_port, platform_port = free_ports.free_ports(2)
        self.echo_address = f"127.0.0.1:{echo_port}"
        self._platform = f"127.0.0.1:{platform_port}"

    def start(self) -> None:
        """Starts all processes and waits until the nodes serve calls."""
        self._processes.start(
            "echo", "bench.echo", "--address", self.echo_address
        )
        self._processes.start(
            "platform", "standins.platform", "--address", self._platform
        )
        for instance in self.instances:
            self._start_instance(instance)
        admin = admin_module.Admin(self.instances)
        late = admin.wait_until_ready(_READY_TIMEOUT_S)
        if late:
            raise RuntimeError(f"not ready: {late}")
        self._publish(admin)

    def stop(self) -> None:
        """Stops all processes."""
        self._processes.stop_all()

    def cpu_s(self, node_ids: tuple[str, ...]) -> float:
        """Returns the CPU time that nodes have used so far."""
        return sum(_cpu_s(self._processes.pid(name)) for name in node_ids)

    def _start_instance(self, instance: instance_module.Instance) -> None:
        self._processes.start(
            f"target-{instance.node_id}", "standins.target",
            "--address", instance.target_address,
            "--service", instance.service, "--version", instance.version,
            "--slots", str(instance.slots), "--cold-calls", "0",
            "--service-ms", str(_SERVICE_MS), "--spread", "0",
        )  # fmt: skip
        path = instance_module.write_settings(
            instance,
            deployment=self._deployment,
            platform=self._platform,
            seeds=[other.peer_address for other in self.instances],
            folder=self._folder,
        )
        self._processes.start(
            instance.node_id, "galenatack.app.daemon", "--settings", str(path)
        )

    def _publish(self, admin: admin_module.Admin) -> None:
        for service in self._deployment.services:
            text = service.profile_file.read_text(encoding="utf-8")
            address = self.instances[0].admin_address
            admin.post(
                address,
                "/admin/v1/profiles",
                {"profile": yaml.safe_load(text)},
            )
            admin.post(
                address,
                f"/admin/v1/services/{service.name}",
                {
                    "profile": service.profile_name,
                    "version": service.versions[0],
                },
            )


def _cpu_s(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_STAT_UTIME]) + int(fields[_STAT_STIME])
    return ticks / os.sysconf("SC_CLK_TCK")
