"""A TCP relay: `python -m standins.drills.relay`.

SIGSTOP stops all traffic through it without closing any connection, as a
partition does; SIGCONT heals the partition.
"""

import contextlib

import anyio
import anyio.abc
import click

CHUNK_BYTES = 65_536


@click.command()
@click.option("--address", required=True, help="host:port to listen on.")
@click.option("--to", "target", required=True, help="host:port behind it.")
def main(address: str, target: str) -> None:
    """Relays connections until it is killed."""
    anyio.run(_serve, address, target)


async def _serve(address: str, target: str) -> None:
    async def relay(client: anyio.abc.SocketStream) -> None:
        async with client:
            with contextlib.suppress(OSError):
                async with await anyio.connect_tcp(*_split(target)) as server:
                    await _forward(client, server)

    host, port = _split(address)
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    await listener.serve(relay)


async def _forward(
    client: anyio.abc.SocketStream, server: anyio.abc.SocketStream
) -> None:
    async with anyio.create_task_group() as tasks:
        for source, sink in ((client, server), (server, client)):
            tasks.start_soon(_copy, source, sink, tasks.cancel_scope)


async def _copy(
    source: anyio.abc.SocketStream,
    sink: anyio.abc.SocketStream,
    scope: anyio.CancelScope,
) -> None:
    with contextlib.suppress(
        anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError
    ):
        while True:
            await sink.send(await source.receive(CHUNK_BYTES))
    scope.cancel()


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


if __name__ == "__main__":
    main()
