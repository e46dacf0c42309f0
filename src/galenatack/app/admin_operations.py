"""Handlers of the admin API."""

import collections.abc
import json
import re
import typing

from galenatack import exceptions
from galenatack.app import member_survey
from galenatack.app import metrics
from galenatack.app import parts as parts_module
from galenatack.app import request_fields
from galenatack.config import effective_choice
from galenatack.config import entry_codec
from galenatack.config import row_keys
from galenatack.links import plain_json
from galenatack.links import plain_text
from galenatack.model import move_phase
from galenatack.model import move_state

_Json = dict[str, typing.Any]
_EVENT_NUMBER = re.compile(r"-?[0-9]{1,18}")


class AdminOperations:
    """Handles operators' requests to one node.

    Args:
        parts: The node's parts.
        is_ready: Returns whether the node serves calls.
    """

    def __init__(
        self,
        *,
        parts: parts_module.Parts,
        is_ready: collections.abc.Callable[[], bool],
    ):
        self._parts = parts
        self._is_ready = is_ready
        self._survey = member_survey.MemberSurvey(
            trust=parts.settings.trust, peer_tls=parts.peer_tls
        )

    async def healthz(self, query, body) -> plain_text.PlainText:
        """Liveness endpoint."""
        del query, body
        return plain_text.PlainText("ok\n")

    async def readyz(self, query, body) -> plain_text.PlainText:
        """Readiness endpoint: 200 if the node serves calls, else 503."""
        del query, body
        if self._is_ready():
            return plain_text.PlainText("ready\n")
        return plain_text.PlainText("not ready\n", 503)

    async def metrics(self, query, body) -> plain_text.PlainText:
        """Returns all metrics as text."""
        del query, body
        return plain_text.PlainText(metrics.render(self._parts))

    async def node(self, query, body) -> _Json:
        """Returns the state of this node only."""
        del query, body
        state = self._parts.state
        return {
            "node_id": self._parts.settings.node_id,
            "held_seq": state.held_seq,
            "running_seq": state.running_seq,
            "is_settled": self._parts.propagation.is_settled,
            "is_ready": self._is_ready(),
            "in_flight": self._parts.gate.in_flight,
            "traffic": [
                plain_json.to_plain(key) | plain_json.to_plain(count)
                for key, count in self._parts.peers.traffic().items()
            ],
        }

    async def status(self, query, body) -> _Json:
        """Returns all members with the seq that each one runs."""
        del query, body
        records = self._parts.members.records()
        states = await self._survey.run(records)
        members = []
        for record in records:
            member = plain_json.to_plain(record)
            state = states.get(record.node_id)
            member["running_seq"] = state.running_seq if state else None
            member["held_seq"] = state.held_seq if state else None
            members.append(member)
        return {
            "node_id": self._parts.settings.node_id,
            "held_seq": self._parts.state.held_seq,
            "running_seq": self._parts.state.running_seq,
            "members": members,
            "platform": await self._platform_state(),
            "moves": [plain_json.to_plain(move) for move in self._moves()],
        }

    async def profiles(self, query, body) -> _Json:
        """Lists the profiles in the table."""
        del query, body
        entries = await self._parts.acceptor.list_entries(row_keys.PROFILE)
        return {
            "profiles": [
                {
                    "name": entry.key.removeprefix(row_keys.PROFILE),
                    "version": entry.version,
                    "seq": entry.seq,
                    "service": json.loads(entry.body)["service"],
                    "digest": entry.digest,
                }
                for entry in entries
            ]
        }

    async def profile(self, query, body, *, name: str) -> _Json:
        """Returns a profile from the table."""
        del query, body
        stored = await self._parts.acceptor.read_entry(row_keys.PROFILE + name)
        if stored is None:
            raise exceptions.NotFoundError(f"no profile {name}")
        entry, _ = stored
        return {
            "name": name,
            "version": entry.version,
            "seq": entry.seq,
            "profile": json.loads(entry.body),
        }

    async def publish(self, query, body) -> _Json:
        """Accepts a new version of a profile."""
        del query
        expect = None
        if body.get("expect") is not None:
            expect = request_fields.integer(body, "expect")
        text = request_fields.json_text(body, "profile")
        entry = await self._parts.acceptor.publish(text, expect=expect)
        return {
            "name": entry.key.removeprefix(row_keys.PROFILE),
            "version": entry.version,
            "seq": entry.seq,
        }

    async def services(self, query, body) -> _Json:
        """Lists the services with the profile and version in force here."""
        del query, body
        entries = self._parts.state.running()
        return {
            "services": [
                plain_json.to_plain(
                    effective_choice.effective_choice(
                        entry,
                        entries.get(
                            row_keys.MOVE + key.removeprefix(row_keys.SERVICE)
                        ),
                    )
                )
                for key, entry in sorted(entries.items())
                if key.startswith(row_keys.SERVICE)
            ]
        }

    async def choose(self, query, body, *, service: str) -> _Json:
        """Accepts the profile and target version of a service."""
        del query
        entry = await self._parts.acceptor.choose(
            service,
            profile=request_fields.text(body, "profile"),
            version=request_fields.text(body, "version"),
        )
        choice = entry_codec.parse_choice(entry.body)
        return plain_json.to_plain(choice) | {"seq": entry.seq}

    async def start_move(self, query, body) -> _Json:
        """Starts a move."""
        del query
        by_ms = request_fields.integer(body, "by_ms")
        move = await self._parts.moves.start(
            request_fields.text(body, "service"),
            to_version=request_fields.text(body, "to"),
            by_ms=by_ms,
        )
        return plain_json.to_plain(move)

    async def move(self, query, body, *, service: str) -> _Json:
        """Returns a move from the table.

        If the table is unreachable, returns the state in force on this node,
        which is final only if it has a verdict.
        """
        del query, body
        try:
            move = await self._parts.moves.verdict(service)
        except exceptions.PlatformError as error:
            return self._move_in_force(service, error)
        return _move_answer(move, "")

    async def cancel_move(self, query, body, *, service: str) -> _Json:
        """Cancels a move and takes its traffic back."""
        del query, body
        move = await self._parts.moves.cancel(service)
        return _move_answer(move, "")

    async def events(self, query, body) -> _Json:
        """Returns this process's events with numbers above `after`."""
        del body
        after = query.get("after", "0")
        if not _EVENT_NUMBER.fullmatch(after):
            raise exceptions.AdminRequestError("after: a number of an event")
        return {
            "node_id": self._parts.settings.node_id,
            "events": [
                plain_json.to_plain(event)
                for event in self._parts.events.events()
                if event.event_id.number > int(after)
            ],
        }

    async def target_leaving(self, query, body) -> _Json:
        """Handles the target's announcement that it is leaving."""
        del query, body
        self._parts.events.record("target-leaving")
        self._parts.gate.leave()
        await self._parts.membership.leave()
        return {"in_flight": self._parts.gate.in_flight}

    async def inject_faults(self, query, body) -> _Json:
        """Cuts links to data centres, if the settings allow it for tests."""
        del query
        if not self._parts.settings.fault_injection:
            raise exceptions.NotPermittedError(
                "fault_injection is off in the settings of this node"
            )
        names = request_fields.names(body, "cut")
        self._parts.faults.cut(names)
        self._parts.events.record("fault-injected", cut=",".join(names))
        return {"cut": sorted(self._parts.faults.cut_data_centres)}

    def _move_in_force(
        self, service: str, error: exceptions.PlatformError
    ) -> _Json:
        for move in self._moves():
            if move.service == service:
                note = (
                    "the platform is out of reach and the verdict row cannot"
                    f" be read yet ({error}); this is the state of one node"
                )
                return _move_answer(move, note)
        raise error

    def _moves(self) -> list[move_state.MoveState]:
        return [
            entry_codec.parse_move(entry.body)
            for key, entry in sorted(self._parts.state.running().items())
            if key.startswith(row_keys.MOVE)
        ]

    async def _platform_state(self) -> str:
        try:
            await self._parts.table.get(row_keys.HEAD)
        except exceptions.PlatformError:
            return "unavailable"
        return "ok"


def _move_answer(move: move_state.MoveState, note: str) -> _Json:
    is_final = move.phase != move_phase.MovePhase.RUNNING
    return {
        "move": plain_json.to_plain(move),
        "final": is_final,
        "note": "" if is_final else note,
    }
