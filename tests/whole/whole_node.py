"""One incarnation of a node: the production wiring on fakes."""

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
# A drain ends before the next fault in the same data centre.
DRAIN_S = 5.0


class TracingRecorder(recorder.Recorder):
    """Passes each event on to a callback as well."""

    def __init__(self, *, on_event: typing.Callable, **options: typing.Any):
        super().__init__(**options)
        self._on_event = on_event

    def record(self, kind, *, cause=None, **facts):
        """Records an event and passes it to the callback."""
        self._on_event(kind, facts)
        return super().record(kind, cause=cause, **facts)


class WholeNode:
    """All components of a node except its listeners.

    Args:
        world: Shared network, platform, ledger and histories of the run.
        node_id: Node id; its first two characters are the data centre, the
            first one is the region.
        version: Version of the target.

    Attributes:
        parts: The wired components.
        is_up: False after a crash or a stop.
        incarnation_id: Node id and start time, as `node_id/wall_ms`.
    """

    def __init__(self, world: typing.Any, node_id: str, version: str):
        self.node_id = node_id
        self.version = version
        self.is_up = True
        self._world = world
        self._scope = anyio.CancelScope()
        self._scopes: list[anyio.CancelScope] = []
        clock = virtual_clock.VirtualClock()
        self.incarnation_id = f"{node_id}/{clock.wall_ms()}"
        rng = random.Random(f"{world.seed}/{self.incarnation_id}")
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
                    _join, world.network, node_id, self._set_heartbeat
                ),
                new_recorder=functools.partial(
                    TracingRecorder, on_event=self._on_event
                ),
            ),
        )
        # A handler must not continue after its node has crashed.
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
        """Terminates the node without draining."""
        self.is_up = False
        self._world.network.leave(self.node_id)
        self._scope.cancel()
        for scope in self._scopes:
            scope.cancel()

    async def stop(self) -> None:
        """Leaves, drains the calls in flight and terminates."""
        self._world.ledger.note_left(self.incarnation_id)
        self.parts.gate.leave()
        await self.parts.membership.leave()
        await self.parts.gate.drain(DRAIN_S)
        if self.is_up:
            self.crash()

    async def call(self, method, path, headers, body):
        """Handles a call from a caller; None if the node is or goes down."""
        return await self._run_while_up(
            functools.partial(
                self.parts.handler.handle,
                method=method,
                path=path,
                headers=headers,
                body=body,
            )
        )

    def withdrawn_s(self) -> float | None:
        """Returns when this node's version was withdrawn, in seconds."""
        move = self.parts.move_runner._move
        if move is None or move.phase == "done":
            return None
        return self.parts.withdrawals.since_s(
            SERVICE, self.version, move.move_id
        )

    async def _run_while_up(self, work: typing.Callable) -> typing.Any:
        result = None
        with anyio.CancelScope() as scope:
            self._scopes.append(scope)
            if self.is_up:
                result = await work()
        self._scopes.remove(scope)
        return result if self.is_up else None

    async def _dispatch(self, inner, sender, message):
        return await self._run_while_up(
            functools.partial(inner, sender, message)
        )

    def _set_heartbeat(self, source: typing.Callable) -> None:
        self.heartbeat = source

    def _on_event(self, kind: str, facts: dict[str, object]) -> None:
        self._world.note_event(self, kind, facts)

    def _target(self, world, rng) -> ledger_target.LedgerTarget:
        return ledger_target.LedgerTarget(
            self.incarnation_id,
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


def _join(network, node_id, set_heartbeat, *, heartbeat_source, **options):
    del options
    set_heartbeat(heartbeat_source)
    return network.join(node_id)
