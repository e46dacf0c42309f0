"""Waits until the own target accepts connections."""

import urllib.parse

import anyio

from galenatack.interfaces import clock as clock_interface

POLL_S = 0.2


async def wait_until_open(url: str, clock: clock_interface.Clock) -> None:
    """Returns once the target accepts connections.

    Health endpoints can be late or wrong, so only an accepted connection
    counts.

    Args:
        url: Base URL of the target.
        clock: Clock for the delay between attempts.
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
