"""A certificate authority for tests."""

import datetime
import ipaddress
import os
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec

from galenatack.settings import trust_settings

VALID = datetime.timedelta(days=1)


class Authority:
    """Signs the certificates of one deployment."""

    def __init__(self, name: str):
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, name)]
        )
        self.certificate = self._sign(self.name, self.key, is_authority=True)

    def issue(
        self, folder: pathlib.Path, node_id: str
    ) -> trust_settings.TrustSettings:
        """Issues a node certificate, writes its files, returns the settings."""
        key = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, node_id)]
        )
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
            # An atomic rename, as a certificate manager replaces files.
            new_path = folder / f"{file_name}.new"
            new_path.write_bytes(body)
            os.replace(new_path, folder / file_name)
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
