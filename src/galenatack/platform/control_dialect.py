"""Translates the own target's announcements and readiness checks."""

import collections.abc
import logging
import typing

from galenatack import exceptions
from galenatack import json_document
from galenatack.links import http_request
from galenatack.links import http_response
from galenatack.model import target_announcement
from galenatack.model import target_state
from galenatack.platform import _values

_LOGGER = logging.getLogger(__name__)

_INSTANCES = "/v1/instances/"
_HEARTBEAT = "/heartbeat"
_DEREGISTER = "/deregister"
_READY = "/v1/ready"
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
_MAX_SLOTS = 100_000
_STATES = {
    "ready": target_state.TargetState.READY.value,
    "draining": target_state.TargetState.DRAINING.value,
}
_JSON = (("content-type", "application/json"),)
_ACCEPTED = http_response.HttpResponse(_OK, _JSON, b"{}")


class Registry(typing.Protocol):
    """Handles announcements."""

    async def announce(
        self, announcement: target_announcement.TargetAnnouncement
    ) -> bool:
        """Handles an announcement; returns False if it is out of date."""

    async def leave(self, target_id: str, born_ms: int) -> None:
        """Handles the deregistration of a target."""


class ControlDialect:
    """Answers announcements of the own target and readiness checks.

    Args:
        registry: Handles the announcements.
        is_ready: Returns whether the node may receive calls.
    """

    def __init__(
        self,
        *,
        registry: Registry,
        is_ready: collections.abc.Callable[[], bool],
    ):
        self._registry = registry
        self._is_ready = is_ready

    async def respond(
        self, request: http_request.HttpRequest
    ) -> http_response.HttpResponse:
        """Answers an announcement."""
        path = request.target.partition("?")[0]
        target_id, action = _split_path(path)
        try:
            if request.method == "POST" and action == _HEARTBEAT:
                await self._registry.announce(
                    _announcement(target_id, request.body)
                )
                return _ACCEPTED
            if request.method == "POST" and action == _DEREGISTER:
                await self._registry.leave(target_id, _born_ms(request.body))
                return _ACCEPTED
        except exceptions.DocumentError as error:
            _LOGGER.warning(
                "event=announcement-unreadable target=%s error=%s",
                target_id,
                error,
            )
            return http_response.HttpResponse(_BAD_REQUEST)
        return http_response.HttpResponse(_NOT_FOUND)

    async def respond_ready(
        self, request: http_request.HttpRequest
    ) -> http_response.HttpResponse:
        """Answers a readiness check."""
        if request.target.partition("?")[0] != _READY:
            return http_response.HttpResponse(_NOT_FOUND)
        status = _OK if self._is_ready() else _UNAVAILABLE
        return http_response.HttpResponse(status)


def _split_path(path: str) -> tuple[str, str]:
    if not path.startswith(_INSTANCES):
        return "", ""
    target_id, _, action = path.removeprefix(_INSTANCES).partition("/")
    return target_id, f"/{action}"


def _document(body: bytes) -> dict[str, typing.Any]:
    document = json_document.load(body)
    if not isinstance(document, dict):
        raise exceptions.DocumentError("body: expected a mapping")
    return document


def _announcement(
    target_id: str, body: bytes
) -> target_announcement.TargetAnnouncement:
    document = _document(body)
    return target_announcement.TargetAnnouncement(
        target_id=_values.text(target_id),
        service=_values.field(document, "service", _values.text),
        version=_values.field(document, "version", _values.text),
        slots=_values.field(document, "capacity", _slots),
        state=_values.field(document, "state", _state),
        warm_up_left_ms=_values.field(
            document, "warmup_left", _values.duration_ms, default=0
        ),
        # Wall-clock time of the target's start.
        born_ms=_values.field(
            document, "born", _values.non_negative_int, default=0
        ),
        sequence=_values.field(document, "sequence", _values.non_negative_int),
    )


def _born_ms(body: bytes) -> int:
    if not body:
        return 0
    return _values.field(
        _document(body), "born", _values.non_negative_int, default=0
    )


def _slots(value: typing.Any) -> int:
    slots = _values.non_negative_int(value)
    if slots > _MAX_SLOTS:
        raise ValueError(f"at most {_MAX_SLOTS}")
    return slots


def _state(value: typing.Any) -> str:
    if not isinstance(value, str) or value not in _STATES:
        raise ValueError("a known state")
    return _STATES[value]
