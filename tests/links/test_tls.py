"""Tests of mutual TLS between nodes."""

import pathlib
import ssl
import tempfile
import unittest

import anyio
import httpx

from galenatack import exceptions
from galenatack.links import http_server
from galenatack.links import tls
from galenatack.settings import trust_settings
from tests.fakes import authority
from tests.fakes import virtual_clock
from tests.fakes import virtual_run
from tests.links import loopback
from tests.links import open_port

NODE_IDS = {"a": "a1-0", "b": "a1-1"}
"""Node ids by folder name."""


def _issue(signer, folder):
    return signer.issue(folder, NODE_IDS[folder.name])


class TestPeerTls(unittest.TestCase):
    def setUp(self):
        """Creates a folder for each of two nodes, and two authorities."""
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folders = [pathlib.Path(temporary.name) / n for n in "ab"]
        for folder in self.folders:
            folder.mkdir()
        self.ours = authority.Authority("ours")
        self.theirs = authority.Authority("theirs")

    def _dial(self, peer_tls, seed_tls):
        async def scenario(tasks):
            seed = loopback.Node("a1-0", peer_tls=seed_tls)
            await seed.start(tasks)
            node = loopback.Node("a1-1", peer_tls=peer_tls)
            await node.start(tasks)
            address = seed.record.peer_address
            link = await node.peers._opener.open_address(address)
            return link.node_id

        return loopback.run(scenario)

    def test_same_authority(self):
        """Nodes with certificates of the same authority connect."""
        peer_contexts = [
            tls.PeerTls(trust=_issue(self.ours, f)) for f in self.folders
        ]
        self.assertEqual(self._dial(*reversed(peer_contexts)), "a1-0")

    def test_other_name(self):
        """A certificate is valid only for the node that it names."""
        seed, node = self.folders
        for names in (("a1-0", "a1-7"), ("a1-7", "a1-1")):
            peer_contexts = [
                tls.PeerTls(trust=self.ours.issue(folder, name))
                for folder, name in zip((seed, node), names, strict=True)
            ]
            with self.assertRaisesRegex(
                exceptions.ProtocolError, "certificate: .* not name"
            ):
                self._dial(*reversed(peer_contexts))

    def test_other_authority(self):
        """A node with another authority's certificate is refused."""
        seed = tls.PeerTls(trust=_issue(self.ours, self.folders[0]))
        trust = _issue(self.theirs, self.folders[1])
        # The node trusts the seed, so only the seed's check can refuse.
        trust = trust._replace(ca_file=str(self.folders[0] / "ca.pem"))
        with self.assertRaises(exceptions.PeerUnreachableError):
            self._dial(tls.PeerTls(trust=trust), seed)

    def test_without_certificate(self):
        """A node without TLS is refused by a deployment with TLS."""
        seed = tls.PeerTls(trust=_issue(self.ours, self.folders[0]))
        with self.assertRaises(exceptions.PeerUnreachableError):
            self._dial(loopback.NO_TLS, seed)

    def test_reload(self):
        """Replaced files apply to the next handshake, as client and server."""
        peer_contexts = [
            tls.PeerTls(trust=_issue(self.ours, f)) for f in self.folders
        ]
        self.assertFalse(peer_contexts[0].reload_if_changed())
        for folder in self.folders:
            _issue(self.theirs, folder)
        self.assertTrue(all(side.reload_if_changed() for side in peer_contexts))
        self.assertEqual(self._dial(*reversed(peer_contexts)), "a1-0")
        subjects = [
            dict(pair for part in item["subject"] for pair in part)
            for item in peer_contexts[0].server.get_ca_certs()
        ]
        self.assertIn({"commonName": "theirs"}, subjects)

    def test_half_renewed_files(self):
        """If certificate and key do not match, the loaded pair stays in use."""
        peer_contexts = [
            tls.PeerTls(trust=_issue(self.ours, f)) for f in self.folders
        ]
        old_key = (self.folders[0] / "key.pem").read_bytes()
        _issue(self.ours, self.folders[0])
        (self.folders[0] / "key.pem").write_bytes(old_key)
        with self.assertRaises(OSError):
            peer_contexts[0].reload_if_changed()
        self.assertEqual(self._dial(*reversed(peer_contexts)), "a1-0")

    def test_follows_files(self):
        """Changed files are loaded at runtime; invalid ones are ignored."""
        folder = self.folders[0]
        peer_tls = tls.PeerTls(trust=_issue(self.ours, folder))

        def names():
            certificates = peer_tls.client.get_ca_certs()
            return {item["subject"][0][0][1] for item in certificates}

        async def main():
            clock = virtual_clock.VirtualClock()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(peer_tls.follow_files, clock)
                (folder / "key.pem").write_bytes(b"")
                with self.assertLogs("galenatack.links.tls", "WARNING"):
                    await anyio.sleep(tls.RELOAD_S + 1)
                before = names()
                _issue(self.theirs, folder)
                await anyio.sleep(tls.RELOAD_S)
                tasks.cancel_scope.cancel()
            return before, names()

        before, after = virtual_run.run(main, seed=1)
        self.assertEqual((before, after), ({"ours"}, {"ours", "theirs"}))

    def test_missing_file(self):
        """A wrong path raises SettingsError."""
        trust = _issue(self.ours, self.folders[0])._replace(ca_file="missing")
        with self.assertRaises(exceptions.SettingsError):
            tls.PeerTls(trust=trust)

    def test_mode_none_warns(self):
        """Without TLS, a warning is logged."""
        trust = trust_settings.TrustSettings(mode="none", ticket_key="k")
        with self.assertLogs("galenatack.links.tls", "WARNING"):
            self.assertIsNone(tls.PeerTls(trust=trust).client)

    def test_admin_listener_reloads(self):
        """The admin listener serves renewed certificates without a restart."""
        seed, client = self.folders
        peer_tls = tls.PeerTls(trust=_issue(self.ours, seed))
        first = _issue(self.ours, client)

        async def app(scope, receive, send):
            del receive
            self.assertEqual(scope["type"], "http")
            await send({"type": "http.response.start", "status": 204})
            await send({"type": "http.response.body"})

        async def scenario(tasks):
            port = open_port.open_port()
            address = f"127.0.0.1:{port}"
            shutdown = anyio.Event()
            tasks.start_soon(_serve_admin, app, address, shutdown, peer_tls)
            await open_port.wait_for(port)
            url = f"https://{address}/"
            self.assertEqual(await _status(url, first), 204)
            self.theirs.issue(seed, "a1-0")
            second = self.theirs.issue(client, "a1-1")
            with self.assertRaises(httpx.ConnectError):
                await _status(url, second)
            self.assertTrue(peer_tls.reload_if_changed())
            self.assertEqual(await _status(url, second), 204)
            shutdown.set()

        loopback.run(scenario)


async def _serve_admin(app, address, shutdown, peer_tls):
    await http_server.serve(
        app, address=address, shutdown=shutdown, tls=peer_tls.admin
    )


async def _status(url, trust):
    context = ssl.create_default_context(cafile=trust.ca_file)
    context.load_cert_chain(trust.cert_file, trust.key_file)
    async with httpx.AsyncClient(verify=context, trust_env=False) as client:
        return (await client.get(url)).status_code
