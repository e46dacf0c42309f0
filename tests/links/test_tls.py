"""Tests of mutual TLS between nodes."""

import datetime
import ipaddress
import os
import pathlib
import tempfile
import unittest

import anyio
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec

from galenatack import exceptions
from galenatack.links import tls
from galenatack.settings import trust_settings
from tests.fakes import virtual_clock
from tests.fakes import virtual_run
from tests.links import loopback

VALID = datetime.timedelta(days=1)


class _Authority:
    """Signs certificates of one deployment."""

    def __init__(self, name):
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, name)]
        )
        self.certificate = self._sign(self.name, self.key, is_authority=True)

    def issue(self, folder):
        """Writes the files of a node and returns its trust settings."""
        key = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "node")])
        certificate = self._sign(name, key, is_authority=False)
        encoding = serialization.Encoding.PEM
        files = {
            "ca.pem": self.certificate.public_bytes(encoding),
            "cert.pem": certificate.public_bytes(encoding),
            "key.pem": key.private_bytes(
                encoding,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            ),
        }
        for file_name, body in files.items():
            # Replaced as a certificate manager does it: by a rename.
            fresh = folder / f"{file_name}.new"
            fresh.write_bytes(body)
            os.replace(fresh, folder / file_name)
        return trust_settings.TrustSettings(
            mode="mtls",
            ticket_key="k",
            ca_file=str(folder / "ca.pem"),
            cert_file=str(folder / "cert.pem"),
            key_file=str(folder / "key.pem"),
        )

    def _sign(self, name, key, *, is_authority):
        start = datetime.datetime.now(datetime.UTC) - VALID
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        return (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(start)
            .not_valid_after(start + 2 * VALID)
            .add_extension(x509.BasicConstraints(is_authority, None), True)
            .add_extension(x509.SubjectAlternativeName([address]), False)
            .sign(self.key, hashes.SHA256())
        )


class TestPeerTls(unittest.TestCase):
    def setUp(self):
        """Makes a folder for each of two nodes, and two authorities."""
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folders = [pathlib.Path(temporary.name) / n for n in "ab"]
        for folder in self.folders:
            folder.mkdir()
        self.ours = _Authority("ours")
        self.theirs = _Authority("theirs")

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
        """Nodes with certificates of one authority link up."""
        both = [tls.PeerTls(trust=self.ours.issue(f)) for f in self.folders]
        self.assertEqual(self._dial(*both), "a1-0")

    def test_other_authority(self):
        """A node with another authority's certificate is kept out."""
        seed = tls.PeerTls(trust=self.ours.issue(self.folders[0]))
        trust = self.theirs.issue(self.folders[1])
        # It trusts the seed, so that only the seed's own check is left.
        trust = trust._replace(ca_file=str(self.folders[0] / "ca.pem"))
        with self.assertRaises(exceptions.PeerUnreachableError):
            self._dial(tls.PeerTls(trust=trust), seed)

    def test_without_certificate(self):
        """A node without TLS is kept out of a deployment with TLS."""
        seed = tls.PeerTls(trust=self.ours.issue(self.folders[0]))
        with self.assertRaises(exceptions.PeerUnreachableError):
            self._dial(loopback.NO_TLS, seed)

    def test_reload(self):
        """Replaced files are used by the next handshake, in both roles."""
        both = [tls.PeerTls(trust=self.ours.issue(f)) for f in self.folders]
        self.assertFalse(both[0].reload_if_changed())
        for folder in self.folders:
            self.theirs.issue(folder)
        self.assertTrue(all(side.reload_if_changed() for side in both))
        self.assertEqual(self._dial(*both), "a1-0")
        subjects = [
            dict(pair for part in item["subject"] for pair in part)
            for item in both[0].server.get_ca_certs()
        ]
        self.assertIn({"commonName": "theirs"}, subjects)

    def test_half_renewed_files(self):
        """A certificate without its key leaves the loaded pair in use."""
        both = [tls.PeerTls(trust=self.ours.issue(f)) for f in self.folders]
        old_key = (self.folders[0] / "key.pem").read_bytes()
        self.ours.issue(self.folders[0])
        (self.folders[0] / "key.pem").write_bytes(old_key)
        with self.assertRaises(OSError):
            both[0].reload_if_changed()
        self.assertEqual(self._dial(*both), "a1-0")

    def test_follows_files(self):
        """Changed files are loaded while the node runs; bad ones are not."""
        folder = self.folders[0]
        peer_tls = tls.PeerTls(trust=self.ours.issue(folder))

        def names():
            found = peer_tls.client.get_ca_certs()
            return {item["subject"][0][0][1] for item in found}

        async def main():
            clock = virtual_clock.VirtualClock()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(peer_tls.follow_files, clock)
                (folder / "key.pem").write_bytes(b"")
                with self.assertLogs("galenatack.links.tls", "WARNING"):
                    await anyio.sleep(tls.RELOAD_S + 1)
                before = names()
                self.theirs.issue(folder)
                await anyio.sleep(tls.RELOAD_S)
                tasks.cancel_scope.cancel()
            return before, names()

        before, after = virtual_run.run(main, seed=1)
        self.assertEqual((before, after), ({"ours"}, {"ours", "theirs"}))

    def test_missing_file(self):
        """A wrong path is reported as an error of the settings."""
        trust = self.ours.issue(self.folders[0])._replace(ca_file="missing")
        with self.assertRaises(exceptions.SettingsError):
            tls.PeerTls(trust=trust)

    def test_mode_none_warns(self):
        """Links without TLS are warned about."""
        trust = trust_settings.TrustSettings(mode="none", ticket_key="k")
        with self.assertLogs("galenatack.links.tls", "WARNING"):
            self.assertIsNone(tls.PeerTls(trust=trust).client)
