"""HTTP client of the platform, with typed failures."""

import ssl
import typing
import urllib.parse

from galenatack import exceptions

if typing.TYPE_CHECKING:
    import httpx

# A healthy platform answers within 100 ms. The timeout allows two attempts
# within the 5 s in which a change must take effect.
TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 8
DEFAULT_RETRY_AFTER_MS = 1000
_MS_PER_S = 1000
_MAX_RETRY_AFTER_S = 60.0
_REFUSALS = (429, 503)
_FIRST_ERROR_STATUS = 400
_CONFLICT = 409
_NOT_FOUND = 404


class PlatformClient:
    """Sends requests to the table service and the object store.

    The HTTP library is imported on the first request, because most nodes
    never read from the platform.

    Args:
        base_url: Base URL of both services.
        timeout_s: Timeout of one request once connected.
        verify: TLS settings; True for the system's certificates.
    """

    def __init__(
        self,
        *,
        base_url: str,
        timeout_s: float = TIMEOUT_S,
        verify: ssl.SSLContext | bool = True,
    ):
        self._base_url = base_url
        self._timeout_s = timeout_s
        self._verify = verify
        self._client: httpx.AsyncClient | None = None

    async def close(self) -> None:
        """Closes all connections."""
        if self._client is not None:
            await self._client.aclose()
            self._client = None

    async def read(
        self, path: str, *, params: dict[str, typing.Any] | None = None
    ) -> "httpx.Response | None":
        """Sends a GET; returns None for 404.

        Raises:
            exceptions.PlatformUnavailableError: No usable answer.
        """
        import httpx

        try:
            response = await self._ensure_client().get(
                _quote(path), params=params
            )
        except httpx.HTTPError as error:
            raise _unavailable(error) from error
        if response.status_code == _NOT_FOUND:
            return None
        if response.status_code >= _FIRST_ERROR_STATUS:
            raise _refusal(response)
        return response

    async def write(
        self, method: str, path: str, *, content: bytes
    ) -> "httpx.Response":
        """Sends a write; returns the answer, which may be a 409.

        Raises:
            exceptions.PlatformUnavailableError: The write had no effect.
            exceptions.OutcomeUnknownError: The write may have taken effect.
        """
        import httpx

        try:
            response = await self._ensure_client().request(
                method, _quote(path), content=content
            )
        except (
            httpx.ConnectError,
            httpx.ConnectTimeout,
            httpx.PoolTimeout,
        ) as error:
            raise _unavailable(error) from error
        except httpx.HTTPError as error:
            raise exceptions.OutcomeUnknownError(
                f"{method} {path}: {type(error).__name__}"
            ) from error
        status = response.status_code
        if status < _FIRST_ERROR_STATUS or status == _CONFLICT:
            return response
        if status in _REFUSALS or status < 500:
            raise _refusal(response)
        raise exceptions.OutcomeUnknownError(f"{method} {path}: {status}")

    def _ensure_client(self) -> "httpx.AsyncClient":
        if self._client is None:
            import httpx

            self._client = httpx.AsyncClient(
                base_url=self._base_url,
                timeout=httpx.Timeout(
                    self._timeout_s, connect=CONNECT_TIMEOUT_S
                ),
                limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
                verify=self._verify,
                trust_env=False,
            )
        return self._client


def malformed(error: Exception) -> exceptions.PlatformUnavailableError:
    """Returns the failure for an answer that cannot be decoded."""
    return exceptions.PlatformUnavailableError(
        f"malformed answer of the platform: {type(error).__name__}"
    )


def _quote(path: str) -> str:
    return urllib.parse.quote(path, safe="/")


def _unavailable(error: Exception) -> exceptions.PlatformUnavailableError:
    return exceptions.PlatformUnavailableError(
        f"platform: {type(error).__name__}",
        retry_after_ms=DEFAULT_RETRY_AFTER_MS,
    )


def _refusal(
    response: "httpx.Response",
) -> exceptions.PlatformUnavailableError:
    return exceptions.PlatformUnavailableError(
        f"platform answered {response.status_code}",
        retry_after_ms=_retry_after_ms(response.headers.get("retry-after")),
    )


def _retry_after_ms(header: str | None) -> int:
    try:
        wait_s = float(header or "")
    except ValueError:
        return DEFAULT_RETRY_AFTER_MS
    if not 0 <= wait_s <= _MAX_RETRY_AFTER_S:
        return DEFAULT_RETRY_AFTER_MS
    return int(wait_s * _MS_PER_S)
