"""Tests of nodes and tool as real processes with mutual TLS."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest

import yaml

from galenatack.settings import loader
from standins.demo import instance
from standins.demo import processes
from tests.fakes import authority

TOOL = "galenatack.app.cli"
NODES = ("jobs-v1", "jobs-v2")
OPERATOR = "operator-token-16"
VIEWER = "viewer-token-0016"
POLL_S = 0.1
READY_S = 30.0
"""Timeout for nodes to become ready, which takes 2 to 3 s."""


class TestTrust(unittest.TestCase):
    """All tests share one deployment, because starting it is slow."""

    @classmethod
    def setUpClass(cls):
        """Starts a platform, two nodes and two that must be kept out.

        One has a certificate of another CA, the other one of another node.
        """
        temporary = tempfile.TemporaryDirectory()
        cls.addClassCleanup(temporary.cleanup)
        cls.folder = pathlib.Path(temporary.name)
        cls.processes = processes.Processes(cls.folder)
        cls.addClassCleanup(cls.processes.stop_all)
        cls.own_ca = authority.Authority("ours")
        cls.other_ca = authority.Authority("theirs")
        cls.own_ca.issue(cls._sub("operator"), "operator")
        cls.other_ca.issue(cls._sub("stranger"), "operator")
        addresses = iter(instance.free_addresses(17))
        cls.platform = next(addresses)
        cls.processes.start(
            "platform", "standins.platform", "--address", cls.platform
        )
        cls.admin = {}
        cls.seed = ""
        for node_id in (*NODES, "alien", "impostor"):
            cls._start_node(node_id, [next(addresses) for _ in range(4)])
        cls._wait_until_ready()

    @classmethod
    def _sub(cls, name):
        folder = cls.folder / name
        folder.mkdir(exist_ok=True)
        return folder

    @classmethod
    def _start_node(cls, node_id, addresses):
        call, peer, admin, target = addresses
        folder = cls._sub(node_id)
        signer = cls.other_ca if node_id == "alien" else cls.own_ca
        is_impostor = node_id == "impostor"
        signer.issue(folder, NODES[1] if is_impostor else node_id)
        settings = {
            "deployment": "tartu",
            "node_id": node_id,
            "data_centre": "tartu",
            "region": "south",
            "service": "jobs",
            "version": "v1",
            "call_address": call,
            "peer_address": peer,
            "admin_address": admin,
            "target_url": f"http://{target}",
            "platform_url": f"http://{cls.platform}",
            "seeds": [cls.seed] if cls.seed else [],
            "slots": 4,
            "trust": {
                "mode": "mtls",
                "ticket_key": "ticket-key-of-16-characters",
                "ca_file": "ca.pem",
                "cert_file": "cert.pem",
                "key_file": "key.pem",
                "operator_tokens": [OPERATOR],
                "viewer_tokens": [VIEWER],
            },
        }
        file = folder / "node.yaml"
        file.write_text(yaml.safe_dump(settings))
        loader.load(file)
        cls.processes.start(
            f"target-{node_id}",
            "standins.target",
            *("--address", target, "--service", "jobs"),
            *("--version", "v1", "--slots", "4"),
        )
        cls.processes.start(
            node_id, "galenatack.app.daemon", "--settings", str(file)
        )
        cls.admin[node_id] = admin
        cls.seed = cls.seed or peer

    @classmethod
    def _wait_until_ready(cls):
        deadline_s = time.monotonic() + READY_S
        while time.monotonic() < deadline_s:
            status, output = cls._tool("status")
            if status == 0 and output.count(" serving ") == len(NODES):
                return
        raise AssertionError(f"not ready: {output}")

    @classmethod
    def _tool(cls, *args, who="operator", token=OPERATOR, node=NODES[0]):
        """Runs the tool; returns its exit status and output."""
        operator = cls.folder / "operator"
        own = cls.folder / who if who else None
        # The tool trusts the deployment's CA, so only the node's check of the
        # tool's certificate can fail.
        files = ["--ca", str(operator / "ca.pem")]
        if own:
            files += ["--cert", str(own / "cert.pem")]
            files += ["--key", str(own / "key.pem")]
        words = ["--node", cls.admin[node], "--token", token, *files, *args]
        done = subprocess.run(
            [sys.executable, "-m", TOOL, *words],
            capture_output=True,
            text=True,
            check=False,
            env=os.environ | {"GALENATACK_NODE": ""},
        )
        return done.returncode, done.stdout + done.stderr

    def test_members(self):
        """Nodes with another CA's or another node's certificate stay out."""
        self._wait_for_log("alien", "CERTIFICATE_VERIFY_FAILED")
        self._wait_for_log("impostor", "certificate does not name impostor")
        status, output = self._tool("--output", "json", "status")
        self.assertEqual(status, 0, output)
        members = json.loads(output)["members"]
        self.assertEqual(sorted(m["node_id"] for m in members), list(NODES))
        self.assertTrue(all(m["running_seq"] == 0 for m in members))

    def _wait_for_log(self, name, text):
        deadline_s = time.monotonic() + READY_S
        while text not in (log := (self.folder / f"{name}.log").read_text()):
            self.assertLess(time.monotonic(), deadline_s, log)
            time.sleep(POLL_S)

    def test_publish(self):
        """A profile published over mutual TLS is in force on both nodes."""
        file = pathlib.Path("examples") / "tartu" / "profiles" / "jobs.yaml"
        output = self._tool("profile", "publish", str(file), "--wait")
        self.assertEqual(output[0], 0, output)
        self.assertIn("in force on all nodes", output[1])

    def test_stranger(self):
        """A tool without a certificate, or with another CA's, is refused."""
        for who in ("", "stranger"):
            with self.subTest(who):
                status, output = self._tool("profile", "list", who=who)
                self.assertEqual(status, 4, output)
                self.assertIn("next: check the address and --ca", output)

    def test_foreign_node(self):
        """A tool does not trust a node with another CA's certificate."""
        status, output = self._tool("profile", "list", node="alien")
        self.assertEqual(status, 4, output)

    def test_roles(self):
        """The token, not the certificate alone, determines the role."""
        for token, change, expected in (
            (VIEWER, False, 0),
            (VIEWER, True, 3),
            ("unknown-token-0016", False, 3),
        ):
            args = ("move", "cancel", "jobs") if change else ("profile", "list")
            status, output = self._tool(*args, token=token)
            self.assertEqual(status, expected, output)
