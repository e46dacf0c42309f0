"""Requests for tests of the quarantine."""

from galenatack.model import call_request


def request(body, *, call_id="1"):
    """Returns a call with a body."""
    return call_request.CallRequest(
        call_id=call_id,
        service="s",
        route="r",
        method="POST",
        path="/p",
        headers=(("host", "h"),),
        body=body,
        deadline_ms=400,
        posting=False,
    )
