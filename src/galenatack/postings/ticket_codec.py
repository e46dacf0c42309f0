"""Issues and verifies tickets: keys bound to one node incarnation.

A ticket has the form `gt1.<node>.<incarnation>.<expiry ms>.<nonce>.<mac>`. The
node id may contain dots; the other parts may not.
"""

import hashlib
import hmac

from galenatack import exceptions
from galenatack.interfaces import clock
from galenatack.interfaces import random_source
from galenatack.postings import ticket

PREFIX = "gt1."
LIFETIME_MS = 600_000
NONCE_BITS = 96
NONCE_HEX_LENGTH = NONCE_BITS // 4
MAX_DIGITS = 16


class TicketCodec:
    """Issues and verifies tickets with the deployment's ticket key."""

    def __init__(
        self,
        *,
        ticket_key: str,
        clock: clock.Clock,
        rng: random_source.RandomSource,
    ):
        self._secret = ticket_key.encode()
        self._clock = clock
        self._rng = rng

    def issue(self, node_id: str, incarnation: int) -> str:
        """Returns a new ticket for one incarnation of a node."""
        expires_ms = self._clock.wall_ms() + LIFETIME_MS
        nonce = f"{self._rng.getrandbits(NONCE_BITS):0{NONCE_HEX_LENGTH}x}"
        signed = f"{PREFIX}{node_id}.{incarnation}.{expires_ms}.{nonce}"
        return f"{signed}.{self._mac(signed)}"

    def parse(self, key: str) -> ticket.Ticket | None:
        """Returns the ticket in a key, or None for a plain key.

        The caller must check the expiry.

        Raises:
            exceptions.TicketMalformedError: The key has the ticket prefix but
                is not a ticket signed by this deployment.
        """
        if not key.startswith(PREFIX):
            return None
        signed, _, mac = key.rpartition(".")
        expected = self._mac(signed)
        if not hmac.compare_digest(expected.encode(), mac.encode()):
            raise _malformed()
        return _fields(signed)

    def _mac(self, signed: str) -> str:
        digest = hmac.new(self._secret, signed.encode(), hashlib.sha256)
        return digest.hexdigest()


def _fields(signed: str) -> ticket.Ticket:
    parts = signed.removeprefix(PREFIX).rsplit(".", 3)
    if len(parts) != 4 or not parts[0]:
        raise _malformed()
    node_id, incarnation, expires_ms, nonce = parts
    return ticket.Ticket(
        node_id, _number(incarnation), _number(expires_ms), nonce
    )


def _number(text: str) -> int:
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_DIGITS:
        raise _malformed()
    return int(text)


def _malformed() -> exceptions.TicketMalformedError:
    return exceptions.TicketMalformedError(
        f"keys that start with {PREFIX} must be tickets issued by this"
        " deployment; ask for one at /_galenatack/ticket/<service>"
    )
