"""Passes calls from other nodes to the gate."""

from galenatack.admission import target_gate
from galenatack.bodies import announced_body
from galenatack.interfaces import peer_network
from galenatack.messages import announced_call
from galenatack.messages import call as call_message
from galenatack.messages import call_answer
from galenatack.messages import cancel_call


class CallMessageHandler:
    """Handles calls, announced calls and cancellations with the gate."""

    def __init__(
        self,
        *,
        peers: peer_network.PeerNetwork,
        gate: target_gate.TargetGate,
    ):
        self._gate = gate
        peers.on(call_message.Call, self._on_call)
        peers.on(announced_call.AnnouncedCall, self._on_announced_call)
        peers.on(cancel_call.CancelCall, self._on_cancel)

    async def _on_call(
        self, sender: str, message: call_message.Call
    ) -> call_answer.CallAnswer:
        del sender
        return await self._gate.handle(message.request)

    async def _on_announced_call(
        self, sender: str, message: announced_call.AnnouncedCall
    ) -> call_answer.CallAnswer:
        return await self._gate.handle(
            message.request,
            announced=announced_body.AnnouncedBody(sender, message.body_bytes),
        )

    async def _on_cancel(
        self, sender: str, message: cancel_call.CancelCall
    ) -> None:
        del sender
        self._gate.cancel(message.call_id)
