"""Serves the platform stand-in over HTTP."""

import hypercorn.asyncio
import hypercorn.config

from standins.platform import app


async def serve(
    bind: str, *, application: app.PlatformApp, shutdown_trigger=None
) -> None:
    """Serves until the trigger returns; without one, until a signal.

    Args:
        bind: `host:port`, or `fd://N` for a socket that already listens.
        application: The application.
        shutdown_trigger: Coroutine function that returns to stop serving.
    """
    config = hypercorn.config.Config()
    config.bind = [bind]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.5
    # Requests with lost answers stay open until their clients give up, which
    # must not delay the shutdown.
    config.shutdown_timeout = 0.5
    await hypercorn.asyncio.serve(
        application, config, shutdown_trigger=shutdown_trigger
    )
