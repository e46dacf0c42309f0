"""What calls hold whose clients have left."""

import asyncio

from galenatack.clients import client_account
from galenatack.clients import request_size
from galenatack.model import call_request


class AbandonedCalls:
    """Implements `client_account.Holder` for calls that go on without clients.

    A call that may run at most once is not cut at its target. Its connection
    no longer counts it, but the node keeps its body until it ends.

    Args:
        account: Account of the node.
    """

    is_ending = True
    waiting_bytes = 0

    def __init__(self, *, account: client_account.ClientAccount):
        self._account = account
        self._held_bytes = 0

    def add(self, call: call_request.CallRequest, task: asyncio.Task) -> None:
        """Counts a call until the task that runs it ends."""
        size_bytes = request_size.of_running(call.path, call.headers, call.body)
        self._change(size_bytes)
        task.add_done_callback(lambda done: self._change(-size_bytes))

    def shed(self) -> None:
        """Does nothing: calls that run are not cut."""

    def _change(self, size_bytes: int) -> None:
        self._held_bytes += size_bytes
        self._account.update(self, self._held_bytes)
