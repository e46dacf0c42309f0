"""The platform's table service over HTTP."""

import json
import typing

from galenatack import exceptions
from galenatack.links import platform_client
from galenatack.model import row
from galenatack.model import transaction

_CONFLICT = 409


class PlatformTable:
    """Implements `interfaces.table.Table`.

    Args:
        client: HTTP client of the platform.
    """

    def __init__(self, *, client: platform_client.PlatformClient):
        self._client = client

    async def get(self, key: str) -> row.Row | None:
        """Returns one row, or None if it does not exist.

        Raises:
            exceptions.PlatformUnavailableError: No usable answer.
        """
        response = await self._client.read(f"/table/{key}")
        if response is None:
            return None
        try:
            fields = response.json()
            return row.Row(key, fields["value"], fields["revision"])
        except (ValueError, KeyError, TypeError) as error:
            raise platform_client.malformed(error) from error

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100
    ) -> tuple[row.Row, ...]:
        """Returns rows with a key prefix, in key order.

        Raises:
            exceptions.PlatformUnavailableError: No usable answer.
        """
        response = await self._client.read(
            "/table",
            params={"prefix": prefix, "after": after, "limit": limit},
        )
        try:
            return tuple(
                row.Row(item["key"], item["value"], item["revision"])
                for item in response.json()["rows"]
            )
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise platform_client.malformed(error) from error

    async def commit(self, change: transaction.Transaction) -> int:
        """Runs a transaction and returns the revision of its writes.

        Raises:
            exceptions.TransactionConflictError: A check failed.
            exceptions.PlatformUnavailableError: Nothing was written.
            exceptions.OutcomeUnknownError: It may have been written.
        """
        response = await self._client.write(
            "POST", "/transactions", content=_encode(change)
        )
        try:
            answer = response.json()
            if response.status_code != _CONFLICT:
                return int(answer["revision"])
            keys = tuple(str(key) for key in answer["keys"])
        except (ValueError, KeyError, TypeError) as error:
            raise exceptions.OutcomeUnknownError(
                "malformed answer to a transaction"
            ) from error
        raise exceptions.TransactionConflictError(
            f"revision differs for {', '.join(keys)}", keys=keys
        )


def _encode(change: transaction.Transaction) -> bytes:
    fields: dict[str, typing.Any] = {
        "checks": [check._asdict() for check in change.checks],
        "puts": [{"key": key, "value": value} for key, value in change.puts],
        "deletes": list(change.deletes),
    }
    return json.dumps(fields, separators=(",", ":")).encode()
