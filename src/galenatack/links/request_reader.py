"""Parses HTTP/1.1 requests from the bytes of one connection."""

import collections.abc
import logging
import typing

import httptools

from galenatack.clients import request_size
from galenatack.links import connection_limits
from galenatack.links import http_request
from galenatack.links import request_target

_LOGGER = logging.getLogger(__name__)

BAD_REQUEST = 400
BODY_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431


MAX_OVERHEAD_BYTES = 16_384
"""Limit on received bytes that are neither the head nor the body of a request,
beyond the size of that body, such as chunk sizes and trailers."""

MAX_PARSED_BYTES = 4096
"""Bytes that are parsed at a time. The parser does not tell where in them a
request ends, so they are not counted for the next one."""

MAX_LOGGED_BYTES = 100


class OnRequest(typing.Protocol):
    """Handles a complete request."""

    def __call__(
        self, request: http_request.HttpRequest, *, keeps_alive: bool
    ) -> None:
        """Handles it; `keeps_alive` is True if another may follow."""


OnRefused = collections.abc.Callable[[int], None]
OnContinue = collections.abc.Callable[[], None]


class RequestReader:
    """Parses requests and enforces limits.

    Args:
        limits: Limits; changes apply at once.
        on_request: Called with each complete request.
        on_refused: Called with the HTTP status for an invalid request; the
            reader must not be fed afterwards.
        on_continue: Called when the peer expects `100 Continue`.

    Attributes:
        is_open: False once a request was refused or the reader was closed.
        has_begun: True while a request is being received.
        has_head: True once the head of that request is complete.
    """

    def __init__(
        self,
        *,
        limits: connection_limits.ConnectionLimits,
        on_request: OnRequest,
        on_refused: OnRefused,
        on_continue: OnContinue,
    ):
        self._limits = limits
        self._on_request = on_request
        self._on_refused = on_refused
        self._on_continue = on_continue
        self._parser = httptools.HttpRequestParser(self)
        self.is_open = True
        self._begin_message()
        self.has_begun = False
        self._has_ended_one = False

    def close(self) -> None:
        """Stops reading and drops a partly received request."""
        self.is_open = False
        self.has_begun = False
        self._headers = []
        self._head_bytes = self._partial_bytes = 0
        self._body = bytearray()

    def detach(self) -> None:
        """Frees the parser; call this when the connection is lost.

        The parser refers to the reader, and the callbacks to the connection:
        without these cycles, the memory of all is free at once.
        """
        self.close()
        self._parser = None
        self._on_request = self._on_refused = self._on_continue = None

    @property
    def body_bytes(self) -> int:
        """Received bytes of the body of the request being received."""
        return len(self._body)

    @property
    def held_bytes(self) -> int:
        """Memory of the request being received."""
        lines_bytes = len(self._headers) * request_size.HEADER_BYTES
        head_bytes = self._head_bytes + self._partial_bytes
        return lines_bytes + head_bytes + len(self._body)

    def head(self) -> http_request.HttpRequest:
        """Returns the request being received, whose head is complete."""
        host, target = request_target.split(self._target.decode("latin-1"))
        headers = self._headers
        if host is not None:
            others = [item for item in headers if item[0] != "host"]
            headers = [("host", host), *others]
        return http_request.HttpRequest(
            method=self._parser.get_method().decode("ascii"),
            target=target,
            headers=tuple(headers),
            body=b"",
        )

    def feed(self, data: bytes) -> None:
        """Parses received bytes, which may hold several requests."""
        for start in range(0, len(data), MAX_PARSED_BYTES):
            if self.is_open:
                self._parse(data[start : start + MAX_PARSED_BYTES])

    def _parse(self, data: bytes) -> None:
        self._has_ended_one = False
        try:
            self._parser.feed_data(data)
            if not self._has_ended_one:
                self._count_partial_head(len(data))
                self._count_overhead(len(data))
        except httptools.HttpParserUpgrade as error:
            rest = data[error.args[0] :]
            if self._offers_upgrade():
                self._parse_without_upgrade(rest)
                return
            self._parser = httptools.HttpRequestParser(self)
            if rest and self.is_open:
                self._parse(rest)
        except httptools.HttpParserError as error:
            self._refuse(BAD_REQUEST, str(error))

    def _parse_without_upgrade(self, rest: bytes) -> None:
        """Parses a request anew whose offer to upgrade is not taken.

        The parser takes the bytes behind such a head for another protocol, but
        they are the body of the request (RFC 9110, section 7.8).

        Args:
            rest: Bytes behind the head.
        """
        method = self._parser.get_method()
        version = self._parser.get_http_version().encode("ascii")
        lines = [b"%s %s HTTP/%s" % (method, bytes(self._target), version)]
        for name, value in self._headers:
            if name == "connection":
                value = _without_upgrade(value)
            if name != "upgrade":
                lines.append(f"{name}: {value}".encode("latin-1"))
        self._parser = httptools.HttpRequestParser(self)
        if self.is_open:
            self._parse(b"\r\n".join([*lines, b"", rest]))

    def on_message_begin(self) -> None:
        """Parser callback: start of a request."""
        self._begin_message()
        self.has_begun = True

    def on_url(self, url: bytes) -> None:
        """Parser callback: a part of the path and query."""
        if not self.is_open:
            return
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header, or a trailer, which is ignored."""
        if self.has_head or not self.is_open:
            return
        self._headers.append(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
        )
        self._count_head(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Parser callback: end of the head."""
        self.has_head = True
        if not self.is_open:
            return
        self._check_announced_size()
        if not self.is_open or self._offers_upgrade():
            return
        if any(name == "expect" for name, _ in self._headers):
            self._on_continue()

    def _check_announced_size(self) -> None:
        """Refuses a body that is too large before any of it is kept."""
        for name, value in self._headers:
            # The parser has refused other values, and numbers of 64 bits.
            if name == "content-length" and value.isdecimal():
                size_bytes = int(value)
                if size_bytes > self._limits.max_body_bytes:
                    self._refuse(
                        BODY_TOO_LARGE, f"a body of {size_bytes} bytes"
                    )
                    return

    def on_body(self, body: bytes) -> None:
        """Parser callback: a part of the body."""
        if not self.is_open:
            return
        self._body += body
        if len(self._body) > self._limits.max_body_bytes:
            self._refuse(BODY_TOO_LARGE, f"{len(self._body)} bytes of the body")

    def on_message_complete(self) -> None:
        """Parser callback: end of a request."""
        if not self.is_open or self._offers_upgrade():
            return
        self.has_begun = False
        self._has_ended_one = True
        request = self.head()._replace(body=bytes(self._body))
        # The connection may stay idle for long.
        self._headers = []
        self._head_bytes = self._partial_bytes = 0
        self._body = bytearray()
        self._received_bytes = 0
        self._on_request(request, keeps_alive=self._parser.should_keep_alive())

    def _offers_upgrade(self) -> bool:
        # The parser treats a tunnel like an upgrade; it has no body.
        is_tunnel = self._parser.get_method() == b"CONNECT"
        return self._parser.should_upgrade() and not is_tunnel

    def _begin_message(self) -> None:
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self._received_bytes = 0
        self._head_bytes = 0
        self._partial_bytes = 0
        self.has_head = False

    def _count_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        if self._head_bytes > self._limits.max_header_bytes:
            self._refuse(
                HEADERS_TOO_LARGE, f"{self._head_bytes} bytes of the head"
            )

    def _count_partial_head(self, size_bytes: int) -> None:
        """Limits a head of which the parser has not reported all headers."""
        if self.has_head:
            return
        self._partial_bytes += size_bytes
        if self._partial_bytes > self._limits.max_header_bytes:
            self._refuse(
                HEADERS_TOO_LARGE,
                f"{self._partial_bytes} bytes of an unfinished head",
            )

    def _count_overhead(self, size_bytes: int) -> None:
        self._received_bytes += size_bytes
        body_bytes = len(self._body)
        other_bytes = self._received_bytes - body_bytes
        allowed_bytes = self._limits.max_header_bytes + MAX_OVERHEAD_BYTES
        if other_bytes > allowed_bytes + body_bytes:
            self._refuse(
                BAD_REQUEST, f"{self._received_bytes} bytes beside the body"
            )

    def _refuse(self, status: int, reason: str) -> None:
        if not self.is_open:
            return
        _LOGGER.info(
            "event=request-refused status=%d target=%r detail=%r",
            status,
            bytes(self._target[:MAX_LOGGED_BYTES]),
            reason,
        )
        self.close()
        self._on_refused(status)


def _without_upgrade(connection: str) -> str:
    """Returns the options of a `connection` header without `upgrade`."""
    options = [option.strip(" \t") for option in connection.split(",")]
    return ", ".join(item for item in options if item.lower() != "upgrade")
