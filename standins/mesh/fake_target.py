"""A target that implements the users' protocol."""

import asyncio
import json
import time

from galenatack.links import http_client
from galenatack.links import http_response
from galenatack.links import pipelined_server

HEALTH_PATH = "/health"
SLOTS = 12


class FakeTarget:
    """Runs calls, announces itself and keeps a ledger of what it ran.

    Attributes:
        ran: Ids of the attempts that it ran, in order.
        seen: Headers of the last call.
        work_s: Duration of a call.
        status: Status of its answers.
        extra_headers: Further headers of its answers.
        hold: If set, an event that calls wait for before they answer.
        on_run: If set, called with this target and the attempt id of each run.
        is_deadly: Returns whether a run of a request crashes the target.
        crash_delay_s: Duration of such a run.
        cold_until_s: Monotonic time until which it is cold; it says so when it
            is asked under `HEALTH_PATH`, for which the request needs a slot
            like any other, and in announcements.
        on_crash: If set, called with this target and the attempt ids of its
            runs when it crashes.
    """

    def __init__(
        self, *, target_id, service, address, version="v1", born_ms=1000
    ):
        self.target_id = target_id
        self.service = service
        self.address = address
        self.version = version
        self.born_ms = born_ms
        self.on_run = None
        self.ran = []
        self.cancelled = []
        self.seen = {}
        self.work_s = 0.0
        self.status = 200
        self.extra_headers = ()
        self.hold = None
        self.is_deadly = lambda request: False
        self.crash_delay_s = 0.02
        self.on_crash = None
        self.cold_until_s = 0.0
        self._running = set()
        self._starts = 1
        self._has_crashed = False
        self._sequence = 0
        self._make_server()

    def crash(self):
        """Ends abruptly; its runs get no answer."""
        if self._has_crashed:
            return
        self._has_crashed = True
        attempts = list(self._running)
        self._running.clear()
        self.server.close()
        if self.on_crash is not None:
            self.on_crash(self, attempts)

    async def restart(self):
        """Starts again as another target, which has to announce itself."""
        self._starts += 1
        self.target_id = f"{self.target_id.partition('-r')[0]}-r{self._starts}"
        self.born_ms += 1000
        self._make_server()
        await self.server.listen()
        self._has_crashed = False

    def _make_server(self):
        self._slots = asyncio.Semaphore(SLOTS)
        self.server = pipelined_server.PipelinedServer(
            address=self.address, respond=self._respond
        )

    async def announce(self, control_address, *, state="ready"):
        """Sends one announcement and returns the HTTP status."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": "z",
            "version": self.version,
            "capacity": SLOTS,
            "state": state,
            "warmup_left": f"{self._cold_ms()}ms",
            "sequence": self._sequence,
            "born": self.born_ms,
        }
        return await self._post(control_address, "heartbeat", body)

    async def leave(self, control_address):
        """Deregisters the target and returns the HTTP status."""
        return await self._post(
            control_address, "deregister", {"born": self.born_ms}
        )

    async def _work(self, request):
        if self.is_deadly(request):
            await asyncio.sleep(self.crash_delay_s)
            self.crash()
        if self.work_s:
            await asyncio.sleep(self.work_s)
        if self.hold is not None:
            await self.hold.wait()

    async def _post(self, control_address, action, body):
        client = http_client.HttpClient(
            address=control_address,
            max_connections=1,
            connect_timeout_s=1.0,
            max_answer_bytes=4096,
        )
        answer = await client.request(
            "POST",
            f"/v1/instances/{self.target_id}/{action}",
            body=json.dumps(body).encode(),
        )
        await client.close()
        return answer.status

    def _cold_ms(self):
        return max(0, round((self.cold_until_s - time.monotonic()) * 1000))

    async def _respond(self, request):
        async with self._slots:
            return await self._answer(request)

    async def _answer(self, request):
        headers = dict(request.headers)
        if request.target == HEALTH_PATH:
            return http_response.HttpResponse(
                200,
                (
                    ("x-instance-id", self.target_id),
                    ("x-warmup-ms", str(self._cold_ms())),
                ),
            )
        attempt = headers.get("x-attempt-id", "")
        attempt_header = (("x-attempt-id", attempt),)
        if headers.get("x-expected-instance") != self.target_id:
            return http_response.HttpResponse(
                421, (*attempt_header, ("x-instance-id", self.target_id))
            )
        self.ran.append(attempt)
        if self.on_run is not None:
            self.on_run(self, attempt)
        self.seen = headers
        self._running.add(attempt)
        try:
            await self._work(request)
        except asyncio.CancelledError:
            self.cancelled.append(attempt)
            raise
        finally:
            self._running.discard(attempt)
        stamp_header = (("x-upstream-stamp", f"{self.target_id}.{attempt}"),)
        return http_response.HttpResponse(
            self.status,
            attempt_header + stamp_header + self.extra_headers,
            request.target.encode() + request.body,
        )
