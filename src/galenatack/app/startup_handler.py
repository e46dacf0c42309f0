"""Refuses calls until the node's configuration is in force."""

from galenatack import exceptions
from galenatack.config import propagation as propagation_module
from galenatack.interfaces import caller_handler
from galenatack.model import call_result
from galenatack.routing import local_replies


class StartupHandler:
    """Implements `interfaces.caller_handler.CallerHandler`.

    Args:
        handler: Handles the calls once the configuration is in force.
        propagation: Provides the start gate, open once it is in force.
    """

    def __init__(
        self,
        *,
        handler: caller_handler.CallerHandler,
        propagation: propagation_module.Propagation,
    ):
        self._handler = handler
        self._propagation = propagation

    async def handle(
        self,
        *,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> call_result.CallResult:
        """Handles one call, or answers `not-run` while the node starts.

        Before its configuration is in force, the node cannot distinguish an
        unknown service from one whose entry has not arrived yet.
        """
        if not self._propagation.start_gate.is_open:
            return local_replies.not_run(
                exceptions.NoTargetError("the node has no configuration yet")
            )
        return await self._handler.handle(
            method=method, path=path, headers=headers, body=body
        )
