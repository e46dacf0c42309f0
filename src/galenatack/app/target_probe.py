"""Waits for the own target."""

import urllib.parse

import anyio

from galenatack.interfaces import clock as clock_interface

POLL_S = 0.2


async def wait_until_open(url: str, clock: clock_interface.Clock) -> None:
    """Returns once the target accepts connections.

    Health endpoints lag or mislead, so that only the listener itself counts.

    Args:
        url: Base URL of the target.
        clock: Time between attempts.
    """
    parts = urllib.parse.urlsplit(url)
    while True:
        try:
            stream = await anyio.connect_tcp(parts.hostname, parts.port or 80)
        except OSError:
            await clock.sleep_s(POLL_S)
            continue
        await stream.aclose()
        return
