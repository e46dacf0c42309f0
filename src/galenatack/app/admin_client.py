"""Client of the nodes' admin API."""

import http
import ssl
import typing
import urllib.parse

import httpx

from galenatack import exceptions

CONNECT_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 15.0
PREFIX = "/admin/v1"


def quoted(segment: str) -> str:
    """Returns a name percent-encoded as one path segment."""
    return urllib.parse.quote(segment, safe="")


class AdminClient:
    """Sends requests to the first reachable node.

    A read is retried on the next node if one does not answer. A change is
    retried only if it certainly had no effect.
    """

    def __init__(
        self,
        *,
        nodes: tuple[str, ...],
        token: str = "",
        tls: ssl.SSLContext | None = None,
        transport: httpx.BaseTransport | None = None,
    ):
        self._nodes = nodes
        self._scheme = "https" if tls else "http"
        headers = {"authorization": f"Bearer {token}"} if token else {}
        self._http = httpx.Client(
            headers=headers,
            verify=tls or True,
            timeout=httpx.Timeout(ANSWER_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            transport=transport,
            trust_env=False,
        )

    def close(self) -> None:
        """Closes the connections."""
        self._http.close()

    def get(
        self,
        path: str,
        *,
        fields: tuple[str, ...],
        node: str = "",
        **query: object,
    ) -> dict[str, typing.Any]:
        """Reads from one node, or from the first that answers.

        Args:
            path: Path after the prefix.
            fields: Fields that the answer must have.
            node: Admin address of the only node to ask.
            **query: Query parameters.

        Raises:
            exceptions.AdminAnswerError: The answer lacks fields.
            exceptions.AdminUnreachableError: No node answered.
            exceptions.AdminRefusedError: A node refused.
        """
        failures = []
        for address in (node,) if node else self._nodes:
            try:
                response = self._send(address, "GET", path, query=query)
                return _parse_answer(response, address, fields)
            except httpx.TransportError as error:
                failures.append(f"{address}: {_reason(error)}")
            except exceptions.AdminUnreachableError as error:
                failures.append(str(error))
        raise exceptions.AdminUnreachableError("; ".join(failures))

    def change(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        fields: tuple[str, ...],
    ) -> dict[str, typing.Any]:
        """Sends a change to the first node that can be connected to.

        Raises:
            exceptions.AdminAnswerError: The answer lacks fields.
            exceptions.AdminUnreachableError: Nothing was changed.
            exceptions.AdminTimeoutError: It may have taken effect.
            exceptions.AdminRefusedError: A node refused.
        """
        failures = []
        for address in self._nodes:
            try:
                response = self._send(address, method, path, body=body)
                return _parse_answer(response, address, fields)
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                failures.append(f"{address}: {_reason(error)}")
            except exceptions.AdminUnreachableError as error:
                # A node that answers 503 has changed nothing.
                failures.append(str(error))
            except httpx.TransportError as error:
                raise exceptions.AdminTimeoutError(
                    f"{address}: {_reason(error)}; the change may have taken"
                    " effect"
                ) from error
        raise exceptions.AdminUnreachableError("; ".join(failures))

    def _send(
        self,
        address: str,
        method: str,
        path: str,
        *,
        query: dict[str, object] | None = None,
        body: object = None,
    ) -> httpx.Response:
        try:
            return self._http.request(
                method,
                f"{self._scheme}://{address}{PREFIX}{path}",
                params=query or None,
                json=body,
            )
        except httpx.InvalidURL as error:
            raise exceptions.UsageError(
                f"--node {address}: expected HOST:PORT"
            ) from error


def tls_context(ca: str, cert: str, key: str) -> ssl.SSLContext | None:
    """Returns the TLS context, or None if no file is given.

    Raises:
        exceptions.UsageError: A file is missing or cannot be used.
    """
    if not (ca or cert or key):
        return None
    if not ca or bool(cert) != bool(key):
        raise exceptions.UsageError(
            "--ca is needed for TLS, and --cert and --key go together"
        )
    try:
        context = ssl.create_default_context(cafile=ca)
        if cert:
            context.load_cert_chain(cert, key)
    except OSError as error:
        raise exceptions.UsageError(
            f"--ca/--cert/--key cannot be used: {error}"
        ) from error
    return context


def _parse_answer(
    response: httpx.Response, address: str, fields: tuple[str, ...]
) -> dict[str, typing.Any]:
    try:
        answer = response.json()
    except ValueError:
        answer = None
    if response.is_success:
        return _check_fields(answer, address, fields)
    facts = dict(answer) if isinstance(answer, dict) else {}
    reason = str(facts.pop("error", "no-json"))
    detail = str(facts.pop("detail", "the answer is not of the admin API"))
    message = f"{address}: {response.status_code} {reason}: {detail}"
    if response.status_code == http.HTTPStatus.SERVICE_UNAVAILABLE:
        raise exceptions.AdminUnreachableError(message)
    if response.status_code == http.HTTPStatus.GATEWAY_TIMEOUT:
        raise exceptions.AdminTimeoutError(message)
    raise exceptions.AdminRefusedError(
        message, status=response.status_code, reason=reason, facts=facts
    )


def _check_fields(
    answer: typing.Any, address: str, fields: tuple[str, ...]
) -> dict[str, typing.Any]:
    if not isinstance(answer, dict):
        raise exceptions.AdminAnswerError(f"{address}: expected an object")
    missing = [field for field in fields if field not in answer]
    if missing:
        raise exceptions.AdminAnswerError(
            f"{address}: the answer lacks {', '.join(missing)}"
        )
    return answer


def _reason(error: httpx.TransportError) -> str:
    return str(error) or type(error).__name__
