"""Interface of the at-most-once guard for postings."""

import collections.abc
import typing

from galenatack.model import call_request
from galenatack.model import call_result


class PostingGuard(typing.Protocol):
    """Dispatches a posting at most once for its idempotency key."""

    async def run_once(
        self,
        request: call_request.CallRequest,
        dispatch: collections.abc.Callable[
            [], collections.abc.Awaitable[call_result.CallResult]
        ],
    ) -> call_result.CallResult:
        """Returns the result of the dispatch, or the recorded result."""
