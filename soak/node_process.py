"""One node in its own process, with its settings and relays."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys

import yaml

from soak import relay

ROOT = pathlib.Path(__file__).resolve().parent.parent

CALLER_PORT = 8629
CONTROL_PORT = 8620
READY_PORT = 8625
TARGET_PORT = 8080
PEER_PORT = 7600
PEER_RELAY_PORT = 7700
STORE_RELAY_PORT = 7800

STOP_S = 8.0
"""Grace period of 6 s, plus 2 s to start and end the process."""

NS_PER_S = 1e9
MAX_RESIDENT_KIB = 200 * 1024
MAX_LOG_END = 4_000


class NodeProcess:
    """Starts, stops and monitors one node.

    Args:
        index: Number of the node; determines its loopback address.
        base: Second octet of the loopback addresses of this run.
        folder: Folder for settings and logs.
        place: Data centre and region.
        service: Service of its target.
        store_address: host:port of the store.
        product: Folder with the checkout that is run.

    Attributes:
        region: Its region.
        start_count: Number of starts of the process.
        peers: Relay in front of the node's peer address.
        store: Relay between the node and the store.
        is_wanted: Whether the process should be running.
    """

    def __init__(
        self,
        *,
        index: int,
        base: int,
        folder: pathlib.Path,
        place: tuple[str, str],
        service: str,
        store_address: str,
        product: pathlib.Path = ROOT,
    ):
        self.index = index
        self.name = f"node-{index}"
        self.host = f"127.{base}.0.{index + 1}"
        self.service = service
        self.region = place[1]
        self.start_count = 0
        self.is_wanted = False
        self.peers = relay.Relay(
            address=f"{self.host}:{PEER_RELAY_PORT}",
            target=f"{self.host}:{PEER_PORT}",
        )
        self.store = relay.Relay(
            address=f"{self.host}:{STORE_RELAY_PORT}", target=store_address
        )
        self._product = product
        self._settings = folder / f"{self.name}.yaml"
        self._log = folder / f"{self.name}.log"
        self._log_start = 0
        self._waited = (0, 0.0)
        self._process: subprocess.Popen | None = None
        self._settings.write_text(
            yaml.safe_dump(self._settings_document(place))
        )

    def address(self, port: int) -> str:
        """Returns the address of one of the node's listeners."""
        return f"{self.host}:{port}"

    async def open(self) -> None:
        """Opens the relays."""
        await self.peers.start()
        await self.store.start()

    def start(self) -> None:
        """Starts the process."""
        self.start_count += 1
        self.is_wanted = True
        with self._log.open("ab") as log:
            self._log_start = log.tell()
            self._process = subprocess.Popen(
                [sys.executable, str(self._product / "deploy" / "node.py")],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "GALENATACK_SETTINGS": str(self._settings),
                },
            )

    @property
    def pid(self) -> int:
        """Id of the process; 0 before the first start."""
        return 0 if self._process is None else self._process.pid

    def rewrite_settings(self) -> None:
        """Writes a changed settings file."""
        text = self._settings.read_text()
        grace, other = (
            ("grace=6s", "grace=6000ms")
            if "grace=6s" in text
            else ("grace=6000ms", "grace=6s")
        )
        self._settings.write_text(text.replace(grace, other))

    def kill(self) -> None:
        """Kills the process."""
        self.is_wanted = False
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def stop(self) -> str:
        """Stops the process gracefully; returns the problem, if any."""
        self.is_wanted = False
        process = self._process
        self.signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + STOP_S
        while process.poll() is None:
            if loop.time() > deadline_s:
                self.kill()
                return f"{self.name} did not end in {STOP_S:.0f} s"
            await asyncio.sleep(0.05)
        if process.returncode == -signal.SIGTERM and not self._has_started():
            # The signal arrived before its handler was installed.
            return ""
        if process.returncode:
            return f"{self.name} ended with {process.returncode}"
        return ""

    def _has_started(self) -> bool:
        text = self._log.read_bytes()[self._log_start :]
        return b"event=started" in text

    def follows_store(self) -> bool:
        """Returns whether the process follows the store, from its log."""
        text = self._log.read_bytes()[self._log_start :]
        _, followed, later = text.rpartition(b"event=store-followed ")
        is_over = b"event=store-left " in later or b"event=store-lost " in later
        return bool(followed) and not is_over

    def exit_status(self) -> int | None:
        """Returns the exit status of the process; None while it runs."""
        return self._process.poll()

    def exit_fault(self) -> str:
        """Returns a message if the process exited unexpectedly, or ""."""
        status = self._process.poll()
        if self.is_wanted and status is not None:
            self.is_wanted = False
            return f"{self.name} ended by itself with {status}"
        return ""

    def resident_fault(self) -> str:
        """Returns a message if the process uses too much memory, or ""."""
        resident_kib = _resident_kib(self._process.pid)
        if resident_kib > MAX_RESIDENT_KIB:
            return f"{self.name} uses {resident_kib} KiB"
        return ""

    def starved_s(self) -> float:
        """Returns how long it waited for a processor since the last call."""
        waited_s = _waited_s(self.pid)
        former, self._waited = self._waited, (self.pid, waited_s)
        return waited_s - former[1] if former[0] == self.pid else 0.0

    def log_end(self) -> str:
        """Returns the last lines of the log."""
        return self._log.read_text(errors="replace")[-MAX_LOG_END:]

    def log_faults(self) -> list[str]:
        """Returns log lines that show an error or a traceback."""
        text = self._log.read_text(errors="replace")
        return [
            f"{self.name}: {line[:200]}"
            for line in text.splitlines()
            if "Traceback" in line or "level=ERROR" in line
        ]

    async def close(self) -> None:
        """Stops the process and the relays."""
        self.kill()
        await self.peers.close()
        await self.store.close()

    def _settings_document(self, place: tuple[str, str]) -> dict[str, object]:
        data_centre, region = place
        return {
            "node_id": self.name,
            "machine_class": "sidecar",
            "ip": self.host,
            "zone": data_centre,
            "region": region,
            "service": self.service,
            "app_address": self.address(TARGET_PORT),
            "listen": {
                "outbound": self.address(CALLER_PORT),
                "ready_address": self.address(READY_PORT),
                "control": self.address(CONTROL_PORT),
            },
            "internal_ports": [PEER_PORT, PEER_PORT + 15],
            "advertised_address": self.peers.address,
            "platform": {"address": self.store.address},
            "bounds": ["drain=2500ms", "grace=6s", "config_apply=2500ms"],
        }


def _resident_kib(pid: int) -> int:
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        # The process has ended, which `exit_fault` reports.
        return 0
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def _waited_s(pid: int) -> float:
    """Returns how long a process has been ready to run, but not running."""
    try:
        status = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    except OSError:
        # The process has ended, which `exit_fault` reports.
        return 0.0
    return int(status.split()[1]) / NS_PER_S
