"""TCP echo server: `python -m bench.echo --address host:port`."""

import anyio
import anyio.abc
import click


async def _echo(stream: anyio.abc.SocketStream) -> None:
    async with stream:
        async for data in stream:
            await stream.send(data)


async def _serve(address: str) -> None:
    host, _, port = address.rpartition(":")
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=int(port)
    )
    await listener.serve(_echo)


@click.command()
@click.option("--address", required=True, help="host:port to listen on.")
def main(address: str) -> None:
    """Serves until it is killed."""
    anyio.run(_serve, address, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
