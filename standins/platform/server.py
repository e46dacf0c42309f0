"""Serves the platform stand-in over HTTP."""

import hypercorn.asyncio
import hypercorn.config

from standins.platform import app


async def serve(
    bind: str, *, application: app.PlatformApp, shutdown_trigger=None
) -> None:
    """Serves until the trigger returns, or until a signal without one.

    Args:
        bind: `host:port`, or `fd://N` for a socket that listens already.
        application: The application.
        shutdown_trigger: Coroutine function that returns at the end.
    """
    config = hypercorn.config.Config()
    config.bind = [bind]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.5
    # A request whose answer is lost stays open until its client gives up.
    config.shutdown_timeout = 0.5
    await hypercorn.asyncio.serve(
        application, config, shutdown_trigger=shutdown_trigger
    )
