"""Admin calls and the command-line tool, as the demo uses them."""

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
    """Talks to the nodes of the demo.

    Args:
        instances: All instances; tool calls go to the first ones.
    """

    def __init__(self, instances: list[instance_module.Instance]):
        self._instances = instances
        self._client = httpx.Client(timeout=TIMEOUT_S, trust_env=False)

    def get(self, address: str, path: str) -> typing.Any:
        """Returns the JSON value of a GET, or None without an answer."""
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
        """Returns the JSON value of a POST."""
        url = f"http://{address}{path}"
        answer = self._client.post(url, json=value or {}, timeout=timeout_s)
        return answer.json()

    def wait_until_ready(self, timeout_s: float) -> list[str]:
        """Returns the nodes that are not ready when the time is over."""
        end_s = time.monotonic() + timeout_s
        waiting = list(self._instances)
        while waiting and time.monotonic() < end_s:
            waiting = [item for item in waiting if not self._is_ready(item)]
            time.sleep(POLL_S)
        return [item.node_id for item in waiting]

    def tool(self, *args: str) -> subprocess.CompletedProcess:
        """Runs the command-line tool to its end."""
        return subprocess.run(
            self._command(args), capture_output=True, text=True, check=False
        )

    def json_tool(self, *args: str) -> dict[str, typing.Any]:
        """Runs the tool with JSON output; raises when it fails."""
        done = self.tool("--output", "json", *args)
        if done.returncode != 0:
            raise RuntimeError(f"galenatack {' '.join(args)}: {done.stderr}")
        return json.loads(done.stdout)

    def _is_ready(self, item: instance_module.Instance) -> bool:
        try:
            url = f"http://{item.admin_address}/readyz"
            return self._client.get(url).status_code == 200
        except httpx.HTTPError:
            return False

    def _command(self, args: tuple[str, ...]) -> list[str]:
        nodes = []
        for item in self._instances[:3]:
            nodes += ["--node", item.admin_address]
        return [sys.executable, "-c", TOOL, *nodes, *args]
