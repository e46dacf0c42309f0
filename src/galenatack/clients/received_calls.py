"""What calls of other nodes make this node keep."""

from galenatack.clients import client_account
from galenatack.clients import request_size
from galenatack.model import call_request


class ReceivedCalls:
    """Implements `client_account.Holder` for all received calls together.

    They are never shed: their callers' nodes are told to come back before a
    call begins.

    Args:
        account: Account of the node.
    """

    is_ending = True
    waiting_bytes = 0

    def __init__(self, *, account: client_account.ClientAccount):
        self._account = account
        self._held_bytes = 0

    def begin(self, request: call_request.CallRequest) -> int | None:
        """Counts a call; returns what it holds, None if there is no room."""
        size_bytes = request_size.of_running(
            request.path, request.headers, request.body
        )
        held_bytes = self._held_bytes + size_bytes
        # Clients can make room for small calls, but calls cannot.
        is_full = held_bytes > self._account.bounds.held_bytes
        if is_full or not self._account.has_room(size_bytes):
            self._account.record_shed("calls", client_bytes=size_bytes)
            return None
        self._add(size_bytes)
        return size_bytes

    def end(self, size_bytes: int) -> None:
        """Takes back what a call held."""
        self._add(-size_bytes)

    def shed(self) -> None:
        """Does nothing: calls that run are not cut."""

    def _add(self, size_bytes: int) -> None:
        self._held_bytes += size_bytes
        self._account.update(self, self._held_bytes)
