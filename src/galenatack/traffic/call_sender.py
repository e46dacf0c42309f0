"""Sends a call to the gate of its target, on this node or another one."""

import asyncio
import collections.abc
import logging
import typing

from galenatack import exceptions
from galenatack.admission import target_gate
from galenatack.bodies import announced_bodies
from galenatack.clients import abandoned_calls
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import peer_network
from galenatack.interfaces import random_source
from galenatack.messages import announced_call
from galenatack.messages import call as call_message
from galenatack.messages import call_answer
from galenatack.messages import cancel_call
from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.model import member_record
from galenatack.placement import known_conditions
from galenatack.placement import offer as offer_module
from galenatack.routing import local_replies
from galenatack.traffic import request_attempts

_LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000.0
CALL_ID_BITS = 40

RETURN_TIME_MS = {True: 8.0, False: 75.0}
"""Time reserved for returning the answer, by whether the target is in this
node's region: the link delay and the processing at both ends."""

MAX_RETURN_TIME_SHARE = 0.2
"""Maximum share of the remaining time that is reserved for returning the
answer."""

ANNOUNCING_PROTOCOL = 3
"""Protocol from which on a peer fetches announced bodies."""

CANCEL_SEND_TIMEOUT_S = 0.3
"""Time limit for sending a cancellation; without it, the gate drops the call at
its deadline."""


class CallSender:
    """Sends calls and cancels those whose callers have disconnected.

    Args:
        own: Record of this node, for its region and service.
        peers: Links to other nodes.
        gate: Gate of the local target.
        conditions: What targets have said of themselves.
        bodies: Bodies that gates fetch.
        clock: Source of time.
        rng: Source of randomness, for call ids.
        cold_rate_per_s: Returns the calls per second that a cold target of a
            service takes; 0 without a limit.
        abandoned: Counts calls that go on without their callers; None if
            their memory is not limited.
    """

    def __init__(
        self,
        *,
        own: member_record.MemberRecord,
        peers: peer_network.PeerNetwork,
        gate: target_gate.TargetGate,
        conditions: known_conditions.KnownConditions,
        bodies: announced_bodies.AnnouncedBodies,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        cold_rate_per_s: collections.abc.Callable[[str], float] = lambda _: 0.0,
        abandoned: abandoned_calls.AbandonedCalls | None = None,
    ):
        self._own = own
        self._peers = peers
        self._gate = gate
        self._conditions = conditions
        self._bodies = bodies
        self._clock = clock
        self._cold_rate_per_s = cold_rate_per_s
        self._abandoned = abandoned
        self._call_prefix = f"{rng.getrandbits(CALL_ID_BITS):010x}"
        self._calls = 0
        self._tasks: set[asyncio.Task] = set()

    async def send(
        self,
        call: call_request.CallRequest,
        member: member_record.MemberRecord,
        deadline_s: float,
    ) -> call_answer.CallAnswer | call_result.CallResult:
        """Returns the gate's answer, or a failed result if there is none.

        Args:
            call: The call, made by `make_call`.
            member: Node of the target.
            deadline_s: Monotonic time by which an answer is needed.
        """
        if member.node_id == self._own.node_id:
            return await self._send_local(call)
        return await self._send_remote(call, member, deadline_s)

    def make_call(
        self,
        attempts: request_attempts.RequestAttempts,
        offer: offer_module.Offer,
    ) -> call_request.CallRequest:
        """Returns a call with a new id for one attempt at a target."""
        self._calls += 1
        member = offer.member
        now_s = self._clock.monotonic_s()
        left_ms = (attempts.deadline_s - now_s) * MS_PER_S
        arrived_s = now_s if attempts.arrived_s is None else attempts.arrived_s
        if member.node_id != self._own.node_id:
            return_ms = RETURN_TIME_MS[member.region == self._own.region]
            left_ms -= min(return_ms, left_ms * MAX_RETURN_TIME_SHARE)
        request, route = attempts.request, attempts.route
        return call_request.CallRequest(
            call_id=f"{self._call_prefix}-{self._calls}",
            service=attempts.service,
            route=route.name,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            deadline_ms=max(1, int(left_ms)),
            posting=not route.is_idempotent,
            request_id=request.request_id,
            priority=route.priority,
            target_latency_ms=route.target_latency_ms,
            caller_service=self._own.service,
            target_id=member.target_id,
            target_rate_limit_per_s=self._conditions.rate_limit_per_s(member),
            is_suspect=attempts.crashes > 0,
            is_trial=attempts.is_trial,
            is_retry=attempts.is_retry,
            retry_share=attempts.retry_share,
            max_wait_ms=offer.max_wait_ms,
            tenant=attempts.tenant,
            waited_ms=(now_s - arrived_s) * MS_PER_S,
            cost_ms=attempts.cost.work_ms if attempts.cost else 0.0,
            cold_rate_per_s=self._cold_rate_per_s(attempts.service),
        )

    async def _send_local(
        self, call: call_request.CallRequest
    ) -> call_answer.CallAnswer:
        # Runs in a separate task: an at-most-once call continues after its
        # caller has disconnected.
        task = asyncio.create_task(self._gate.handle(call))
        self._keep_reference(task)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            self._gate.cancel(call.call_id)
            if self._abandoned is not None and not task.done():
                self._abandoned.add(call, task)
            raise

    async def _send_remote(
        self,
        call: call_request.CallRequest,
        member: member_record.MemberRecord,
        deadline_s: float,
    ) -> call_answer.CallAnswer | call_result.CallResult:
        try:
            reply = await self._request(call, member.node_id, deadline_s)
        except (
            exceptions.PeerUnreachableError,
            exceptions.PeerBusyError,
            exceptions.BodyUnavailableError,
        ) as error:
            return local_replies.not_run(error)
        except exceptions.PeerError as error:
            return local_replies.unknown(error)
        except asyncio.CancelledError:
            self._keep_reference(
                asyncio.create_task(self._cancel(member.node_id, call.call_id))
            )
            raise
        if not isinstance(reply, call_answer.CallAnswer) or (
            reply.call_id != call.call_id
        ):
            return local_replies.unknown(
                exceptions.ProtocolError("reply is not the answer of the call")
            )
        return reply

    async def _request(
        self,
        call: call_request.CallRequest,
        node_id: str,
        deadline_s: float,
    ) -> typing.Any:
        left_s = deadline_s - self._clock.monotonic_s()
        is_announced = (
            len(call.body) > announced_bodies.MIN_ANNOUNCED_BYTES
            and self._peers.protocol(node_id) >= ANNOUNCING_PROTOCOL
        )
        if not is_announced:
            return await self._peers.request(
                node_id, call_message.Call(call, 0), timeout_s=left_s
            )
        message = announced_call.AnnouncedCall(
            call._replace(body=b""), len(call.body)
        )
        with self._bodies.announced(call.call_id, node_id, call.body):
            try:
                return await self._peers.request(
                    node_id, message, timeout_s=left_s
                )
            except exceptions.PeerTimeoutError as error:
                if self._bodies.is_handed_out(call.call_id):
                    raise
                raise exceptions.BodyUnavailableError(
                    f"{node_id} has not fetched the body: {error}",
                    retry_after_ms=local_replies.DEFAULT_RETRY_AFTER_MS,
                ) from error

    async def _cancel(self, node_id: str, call_id: str) -> None:
        try:
            async with asyncio.timeout(CANCEL_SEND_TIMEOUT_S):
                await self._peers.send(node_id, cancel_call.CancelCall(call_id))
        except (exceptions.PeerError, TimeoutError) as error:
            # The gate drops the call at its deadline.
            _LOGGER.debug(
                "event=cancel-not-sent peer=%s error=%r", node_id, error
            )

    def _keep_reference(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
