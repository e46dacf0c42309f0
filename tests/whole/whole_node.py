"""One life of a node, with the product's wiring on fakes."""

import functools
import random
import typing

import anyio

from galenatack.app import external_dependencies
from galenatack.app import wiring
from galenatack.settings import node_settings
from galenatack.settings import trust_settings
from galenatack.timeline import recorder
from tests.fakes import virtual_clock
from tests.whole import ledger_target

SERVICE = "prices"
SLOTS = 8
# Drains end before the next fault of the same data centre.
DRAIN_S = 5.0


class TracingRecorder(recorder.Recorder):
    """Also hands each event on."""

    def __init__(self, *, on_event: typing.Callable, **options: typing.Any):
        super().__init__(**options)
        self._on_event = on_event

    def record(self, kind, *, cause=None, **facts):
        """Records an event and hands it on."""
        self._on_event(kind, facts)
        return super().record(kind, cause=cause, **facts)


class WholeNode:
    """All parts of a node but its listeners.

    Args:
        world: The run: network, platform, ledger and histories.
        node_id: Node; its first two letters name the data centre, the first
            one the region.
        version: Version of the target.

    Attributes:
        parts: The wired parts.
        is_up: False after a crash or a stop.
    """

    def __init__(self, world: typing.Any, node_id: str, version: str):
        self.node_id = node_id
        self.version = version
        self.is_up = True
        self._world = world
        self._scope = anyio.CancelScope()
        self._scopes: list[anyio.CancelScope] = []
        clock = virtual_clock.VirtualClock()
        self.life = f"{node_id}/{clock.wall_ms()}"
        rng = random.Random(f"{world.seed}/{self.life}")
        self.parts = wiring.wire(
            self._settings(),
            external_dependencies.ExternalDependencies(
                clock=clock,
                rng=rng,
                secret_rng=rng,
                table=world.table_of(node_id),
                objects=world.objects_of(node_id),
                platform=world,
                target=self._target(world, rng),
                new_peers=functools.partial(
                    _join, world.network, node_id, self._beat_of
                ),
                new_recorder=functools.partial(
                    TracingRecorder, on_event=self._on_event
                ),
            ),
        )
        # A handler must not go on when its node is dead.
        peers = self.parts.peers
        peers.dispatch = functools.partial(self._dispatch, peers.dispatch)

    async def run(self) -> None:
        """Runs until `crash` or the end of `stop`."""
        parts = self.parts
        with self._scope:
            async with anyio.create_task_group() as tasks:
                for _, task in parts.background_tasks():
                    tasks.start_soon(task)
                tasks.start_soon(parts.peers.send_heartbeats, self.heartbeat)
                await parts.rebuild.run()
                parts.updater.rebuild()
                parts.membership.start_serving()
                self._on_event("node-serving", {})

    def crash(self) -> None:
        """Ends this life at once."""
        self.is_up = False
        self._world.network.leave(self.node_id)
        self._scope.cancel()
        for scope in self._scopes:
            scope.cancel()

    async def stop(self) -> None:
        """Leaves, lets the calls in flight end and goes."""
        self._world.ledger.note_left(self.life)
        self.parts.gate.leave()
        await self.parts.membership.leave()
        await self.parts.gate.drain(DRAIN_S)
        if self.is_up:
            self.crash()

    async def call(self, method, path, headers, body):
        """Handles a call as the caller side does; None when the node dies."""
        return await self._alive(
            functools.partial(
                self.parts.handler.handle,
                method=method,
                path=path,
                headers=headers,
                body=body,
            )
        )

    def withdrawn_s(self) -> float | None:
        """Returns since when the own version is withdrawn here."""
        move = self.parts.move_runner._move
        if move is None or move.phase == "done":
            return None
        return self.parts.withdrawals.since_s(
            SERVICE, self.version, move.move_id
        )

    async def _alive(self, work: typing.Callable) -> typing.Any:
        result = None
        with anyio.CancelScope() as scope:
            self._scopes.append(scope)
            if self.is_up:
                result = await work()
        self._scopes.remove(scope)
        return result if self.is_up else None

    async def _dispatch(self, inner, sender, message):
        return await self._alive(functools.partial(inner, sender, message))

    def _beat_of(self, source: typing.Callable) -> None:
        self.heartbeat = source

    def _on_event(self, kind: str, facts: dict[str, object]) -> None:
        self._world.note_event(self, kind, facts)

    def _target(self, world, rng) -> ledger_target.LedgerTarget:
        return ledger_target.LedgerTarget(
            self.life,
            version=self.version,
            rng=rng,
            ledger=world.ledger,
            fault_share=lambda: world.fault_shares.get(self.version, 0.0),
            withdrawn_s=self.withdrawn_s,
        )

    def _settings(self) -> node_settings.NodeSettings:
        return node_settings.NodeSettings(
            deployment="test",
            node_id=self.node_id,
            data_centre=self.node_id[:2],
            region=self.node_id[:1],
            service=SERVICE,
            version=self.version,
            call_address="127.0.0.1:1",
            peer_address="127.0.0.1:2",
            admin_address="127.0.0.1:3",
            target_url="http://127.0.0.1:4",
            platform_url="http://127.0.0.1:5",
            seeds=(),
            slots=SLOTS,
            trust=trust_settings.TrustSettings("none", "secret"),
            invariants="raise",
        )


def _join(network, node_id, take_source, *, heartbeat_source, **options):
    del options
    take_source(heartbeat_source)
    return network.join(node_id)
