"""At-most-once execution of postings at a gate."""

import collections.abc

from galenatack import exceptions
from galenatack.interfaces import clock
from galenatack.interfaces import event_sink
from galenatack.interfaces import peer_network
from galenatack.interfaces import random_source
from galenatack.interfaces import table
from galenatack.invariants import at_most_once
from galenatack.invariants import not_run
from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.model import outcome
from galenatack.postings import claim_manager
from galenatack.postings import fingerprint
from galenatack.postings import posting_record
from galenatack.postings import posting_registry
from galenatack.postings import posting_results
from galenatack.postings import posting_state
from galenatack.postings import ticket
from galenatack.postings import ticket_codec

Dispatch = collections.abc.Callable[
    [], collections.abc.Awaitable[call_result.CallResult]
]
State = posting_state.PostingState

ATTEMPT_BITS = 128
ATTEMPT_HEX_LENGTH = ATTEMPT_BITS // 4
MAX_KEY_LENGTH = 256
# Dispatch failures which prove that the target did not start the posting.
START_DENIED_ERRORS = (
    exceptions.TargetConnectError,
    exceptions.TargetShedError,
    exceptions.OverloadedError,
    exceptions.NoTargetError,
)


class PostingGuard:
    """Runs each posting at most once; requires `run` as a background task.

    A process uses one guard for its lifetime, because the at-most-once
    guarantee of tickets depends on the guard's memory. `add_incarnation` must
    be called when the process refutes a suspicion, so that tickets for its new
    incarnation are accepted.
    """

    def __init__(
        self,
        *,
        node_id: str,
        incarnation: int,
        tickets: ticket_codec.TicketCodec,
        table: table.Table,
        peers: peer_network.PeerNetwork,
        clock: clock.Clock,
        rng: random_source.RandomSource,
        events: event_sink.EventSink,
        registry: posting_registry.PostingRegistry | None = None,
    ):
        self._node_id = node_id
        self._incarnations = {incarnation}
        self._tickets = tickets
        self._clock = clock
        self._rng = rng
        self._events = events
        if registry is None:
            registry = posting_registry.PostingRegistry(clock=clock)
        self._registry = registry
        self._claims = claim_manager.ClaimManager(
            node_id=node_id,
            incarnation=incarnation,
            table=table,
            peers=peers,
            clock=clock,
            registry=self._registry,
        )

    def add_incarnation(self, incarnation: int) -> None:
        """Accepts tickets for another incarnation of this process."""
        self._incarnations.add(incarnation)

    async def run(self) -> None:
        """Writes and releases claims until cancelled."""
        await self._claims.run()

    async def run_once(
        self, request: call_request.CallRequest, dispatch: Dispatch
    ) -> call_result.CallResult:
        """Runs a posting unless its key has already run; returns its result.

        Args:
            request: The posting.
            dispatch: Sends it to the target; called at most once. Returns
                outcome `not-run` only if the target did not start it. If it
                is cancelled and the target confirms the cancel before the
                start, it should return `not-run` instead of propagating the
                cancellation, which frees the key for a repeat.

        Returns:
            The answer, `not-run` or `unknown`. A missing or malformed key
            results in status 400 and a key of another request in 422, both
            with outcome `not-run` and the error's code as `failure`.
        """
        try:
            return await self._run_once(request, dispatch)
        except exceptions.PostingError as error:
            self._events.record(
                "posting-refused", service=request.service, code=error.code
            )
            return posting_results.refused(error)

    async def _run_once(
        self, request: call_request.CallRequest, dispatch: Dispatch
    ) -> call_result.CallResult:
        key = _checked_key(request)
        parsed_ticket = self._tickets.parse(key)
        self._registry.expire()
        record = self._registry.get(request.service, key)
        if record is not None:
            return await _repeat_result(record, request)
        if parsed_ticket is not None:
            refusal = self._ticket_refusal(parsed_ticket)
            if refusal is not None:
                return refusal
        record = self._new_record(request, parsed_ticket)
        if not self._registry.add(record):
            return posting_results.not_run(
                "postings-full", "this node remembers too many postings"
            )
        return await self._run_first_attempt(record, request, dispatch)

    def _ticket_refusal(
        self, parsed_ticket: ticket.Ticket
    ) -> call_result.CallResult | None:
        if parsed_ticket.node_id != self._node_id:
            return posting_results.unknown(
                "ticket-other-node",
                f"the ticket is for {parsed_ticket.node_id}",
            )
        if parsed_ticket.incarnation not in self._incarnations:
            return posting_results.unknown(
                "ticket-other-incarnation",
                "the process that the ticket was issued for has ended",
            )
        floor_ms = self._registry.ticket_floor_ms
        if parsed_ticket.expires_ms <= max(self._clock.wall_ms(), floor_ms):
            return posting_results.unknown(
                "ticket-expired", "the ticket has expired"
            )
        return None

    def _new_record(
        self,
        request: call_request.CallRequest,
        parsed_ticket: ticket.Ticket | None,
    ) -> posting_record.PostingRecord:
        bits = self._rng.getrandbits(ATTEMPT_BITS)
        record = posting_record.PostingRecord(
            service=request.service,
            key=request.idempotency_key,
            attempt=f"{bits:0{ATTEMPT_HEX_LENGTH}x}",
            fingerprint=fingerprint.compute(request),
            ticket_expires_ms=parsed_ticket.expires_ms if parsed_ticket else 0,
        )
        record.is_claimed = parsed_ticket is not None
        return record

    async def _run_first_attempt(
        self,
        record: posting_record.PostingRecord,
        request: call_request.CallRequest,
        dispatch: Dispatch,
    ) -> call_result.CallResult:
        result = None
        try:
            if not record.is_claimed:
                result = await self._claims.acquire(
                    record, deadline_ms=request.deadline_ms
                )
            if result is None:
                result = await self._dispatch(record, dispatch)
        except exceptions.PostingError as error:
            result = posting_results.refused(error)
        finally:
            # Also when cancelled or failed: repeats wait for the result.
            result = self._settle(record, result)
        return result

    async def _dispatch(
        self, record: posting_record.PostingRecord, dispatch: Dispatch
    ) -> call_result.CallResult:
        is_allowed = at_most_once.check(
            attempt=record.attempt,
            dispatches=record.dispatches,
            is_closed=record.is_closed,
            is_claimed=record.is_claimed,
        )
        if not is_allowed:
            record.close()
            return posting_results.unknown(
                "invariant", "the posting must not run"
            )
        record.state = State.DISPATCHED
        record.dispatches += 1
        try:
            result = await dispatch()
        except START_DENIED_ERRORS as error:
            record.is_start_denied = True
            return posting_results.not_run(error.code, str(error))
        except exceptions.InvariantViolationError:
            raise
        except exceptions.GalenatackError as error:
            return posting_results.unknown(error.code, str(error))
        record.is_start_denied = result.outcome == outcome.Outcome.NOT_RUN
        return result

    def _settle(
        self,
        record: posting_record.PostingRecord,
        result: call_result.CallResult | None,
    ) -> call_result.CallResult:
        """Ends an attempt and publishes its result to waiting repeats."""
        if result is None:
            result = _interrupted_result(record)
        if result.outcome == outcome.Outcome.NOT_RUN:
            result = self._settle_not_run(record, result)
        elif not record.dispatches:
            self._registry.remove(record)
        elif result.outcome == outcome.Outcome.ANSWER:
            record.state = State.ANSWERED
            self._registry.keep_result(record, result)
        shared = record.shared_result
        record.shared_result = None
        shared.set_result(result)
        return result

    def _settle_not_run(
        self,
        record: posting_record.PostingRecord,
        result: call_result.CallResult,
    ) -> call_result.CallResult:
        is_valid = not_run.check(
            attempt=record.attempt,
            dispatches=record.dispatches,
            is_start_denied=record.is_start_denied,
        )
        if not is_valid:
            return posting_results.unknown(
                "invariant", "the posting may have run"
            )
        record.is_closed = True
        self._registry.remove(record)
        self._claims.abandon(record)
        return result


def _checked_key(request: call_request.CallRequest) -> str:
    key = request.idempotency_key
    if not key:
        raise exceptions.PostingKeyMissingError(
            "postings need the header Idempotency-Key"
        )
    if len(key) > MAX_KEY_LENGTH:
        raise exceptions.PostingKeyMissingError(
            f"Idempotency-Key is longer than {MAX_KEY_LENGTH} characters"
        )
    return key


async def _repeat_result(
    record: posting_record.PostingRecord, request: call_request.CallRequest
) -> call_result.CallResult:
    """Returns the result of the existing attempt of the key."""
    if fingerprint.compute(request) != record.fingerprint:
        raise exceptions.PostingKeyReusedError(claim_manager.REUSED_KEY_DETAIL)
    if record.shared_result is not None:
        shared = await record.shared_result.wait(request.deadline_ms / 1000)
        return shared or posting_results.unknown(
            "deadline-exceeded",
            "an earlier request with this key is still running",
            retry_after_ms=posting_results.DEFAULT_RETRY_AFTER_MS,
        )
    if record.result is not None:
        return record.result
    return posting_results.unknown(
        "posting-may-have-run", "its answer is not known"
    )


def _interrupted_result(
    record: posting_record.PostingRecord,
) -> call_result.CallResult:
    if record.close():
        return posting_results.not_run(
            "cancelled", "cancelled before the dispatch"
        )
    return posting_results.unknown("cancelled", "cancelled after the dispatch")
