"""TLS contexts for links between nodes and for the admin listener."""

import asyncio
import logging
import os
import ssl

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.settings import trust_settings

_LOGGER = logging.getLogger(__name__)

MODE_NONE = "none"

RELOAD_S = 30.0
"""How often the certificate files are checked for changes."""


_HTTP_PROTOCOLS = ["h2", "http/1.1"]


class PeerTls:
    """Contexts for mutual TLS, with reload of changed certificate files.

    Attributes:
        client: For links that this node dials.
        server: For the peer listener.
        admin: For the admin listener; offers HTTP/2.

    Args:
        trust: Files and mode.

    Raises:
        exceptions.SettingsError: A file is missing or invalid.
    """

    def __init__(self, *, trust: trust_settings.TrustSettings):
        self._trust = trust
        self._loaded: tuple[tuple[int, int], ...] = ()
        self.client: ssl.SSLContext | None = None
        self.server: ssl.SSLContext | None = None
        self.admin: ssl.SSLContext | None = None
        if trust.mode == MODE_NONE:
            _LOGGER.warning(
                "event=trust-none links between nodes are neither"
                " authenticated nor encrypted"
            )
            return
        self.client = _context(ssl.PROTOCOL_TLS_CLIENT)
        self.server = _context(ssl.PROTOCOL_TLS_SERVER)
        self.admin = _context(ssl.PROTOCOL_TLS_SERVER)
        self.admin.set_alpn_protocols(_HTTP_PROTOCOLS)
        try:
            self.reload_if_changed()
        except (OSError, ValueError) as error:
            raise exceptions.SettingsError(f"trust: {error}") from error

    def reload_if_changed(self) -> bool:
        """Loads changed files into the existing contexts.

        New handshakes use the new files; open links are not affected.

        Returns:
            True if the files were loaded.

        Raises:
            OSError: A file is missing or invalid; includes `ssl.SSLError`.
        """
        if self.client is None or self.server is None or self.admin is None:
            return False
        fingerprint = self._fingerprint()
        if fingerprint == self._loaded:
            return False
        # Loads into a temporary context first: a certificate without its
        # matching key, as seen during a renewal, must not corrupt the
        # contexts in use.
        for context in (
            _context(ssl.PROTOCOL_TLS_CLIENT),
            self.client,
            self.server,
            self.admin,
        ):
            context.load_verify_locations(cafile=self._trust.ca_file)
            context.load_cert_chain(self._trust.cert_file, self._trust.key_file)
        self._loaded = fingerprint
        return True

    async def follow_files(self, clock: clock_interface.Clock) -> None:
        """Reloads changed files until cancelled; logs invalid ones."""
        while True:
            await clock.sleep_s(RELOAD_S)
            try:
                if self.reload_if_changed():
                    _LOGGER.info("event=certificates-reloaded")
            except (OSError, ValueError) as error:
                _LOGGER.warning("event=certificates-bad error=%s", error)

    def _fingerprint(self) -> tuple[tuple[int, int], ...]:
        files = (
            self._trust.ca_file,
            self._trust.cert_file,
            self._trust.key_file,
        )
        stats = [os.stat(name) for name in files]
        return tuple((stat.st_mtime_ns, stat.st_ino) for stat in stats)


def peer_names(transport: asyncio.BaseTransport) -> frozenset[str] | None:
    """Returns the names in the peer's certificate; None without TLS.

    The names are the common name of the subject and the DNS names among the
    alternative names.
    """
    connection = transport.get_extra_info("ssl_object")
    if connection is None:
        return None
    certificate = connection.getpeercert() or {}
    subject = (pair for part in certificate.get("subject", ()) for pair in part)
    names = {value for kind, value in subject if kind == "commonName"}
    other = certificate.get("subjectAltName", ())
    return frozenset(names | {value for kind, value in other if kind == "DNS"})


def _context(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # Nodes are dialled by IP address; membership is decided by the
    # deployment's own certificate authority, not by the host name.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context
