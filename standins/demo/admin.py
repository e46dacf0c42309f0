"""Client for the admin API and the command-line tool."""

import json
import subprocess
import sys
import time
import typing

import httpx

from standins.demo import instance as instance_module

POLL_S = 0.2
TIMEOUT_S = 5.0
TOOL = "from galenatack.app import cli; cli.main()"


class Admin:
    """Calls the admin API of nodes and runs the command-line tool.

    Args:
        instances: All instances; the tool connects to the first three.
    """

    def __init__(self, instances: list[instance_module.Instance]):
        self._instances = instances
        self._client = httpx.Client(timeout=TIMEOUT_S, trust_env=False)

    def get(self, address: str, path: str) -> typing.Any:
        """Sends a GET; returns the JSON value, or None if it fails."""
        try:
            return self._client.get(f"http://{address}{path}").json()
        except (httpx.HTTPError, ValueError):
            return None

    def post(
        self,
        address: str,
        path: str,
        value: object = None,
        *,
        timeout_s: float = TIMEOUT_S,
    ) -> typing.Any:
        """Sends a POST; returns the JSON value."""
        url = f"http://{address}{path}"
        answer = self._client.post(url, json=value or {}, timeout=timeout_s)
        return answer.json()

    def wait_until_ready(self, timeout_s: float) -> list[str]:
        """Waits; returns the ids of nodes that are not ready in time."""
        end_s = time.monotonic() + timeout_s
        waiting = list(self._instances)
        while waiting and time.monotonic() < end_s:
            waiting = [
                instance for instance in waiting if not self._is_ready(instance)
            ]
            time.sleep(POLL_S)
        return [instance.node_id for instance in waiting]

    def tool(self, *args: str) -> subprocess.CompletedProcess:
        """Runs the command-line tool and waits for it."""
        return subprocess.run(
            self._command(args), capture_output=True, text=True, check=False
        )

    def json_tool(self, *args: str) -> dict[str, typing.Any]:
        """Runs the tool with JSON output; raises when it fails."""
        completed = self.tool("--output", "json", *args)
        if completed.returncode != 0:
            raise RuntimeError(
                f"galenatack {' '.join(args)}: {completed.stderr}"
            )
        return json.loads(completed.stdout)

    def _is_ready(self, instance: instance_module.Instance) -> bool:
        try:
            url = f"http://{instance.admin_address}/readyz"
            return self._client.get(url).status_code == 200
        except httpx.HTTPError:
            return False

    def _command(self, args: tuple[str, ...]) -> list[str]:
        nodes = []
        for instance in self._instances[:3]:
            nodes += ["--node", instance.admin_address]
        return [sys.executable, "-c", TOOL, *nodes, *args]
