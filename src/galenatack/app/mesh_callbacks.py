"""Callbacks that connect sources of changes with the parts that react."""

import logging
import typing

from galenatack import exceptions
from galenatack.admission import retry_slack
from galenatack.admission import target_gate
from galenatack.admission import target_registry
from galenatack.config import row_exchange
from galenatack.config import row_mirror
from galenatack.config import store_follower_election
from galenatack.config import table_watcher
from galenatack.homes import evacuations as evacuations_module
from galenatack.interfaces import shared_table
from galenatack.links import connection_limits
from galenatack.membership import member_table
from galenatack.membership import neighbour_sync
from galenatack.messages import heartbeat
from galenatack.model import caller_limits
from galenatack.model import member_record
from galenatack.model import proximity
from galenatack.model import table_row
from galenatack.model import target_condition
from galenatack.model import warm_up
from galenatack.placement import target_placement
from galenatack.platform import config_document
from galenatack.platform import evacuation_rows
from galenatack.platform import rollout_rows
from galenatack.rollouts import rollout_registry
from galenatack.tenants import tenant_table
from galenatack.timeline import hybrid_clock
from galenatack.traffic import config_holder
from galenatack.warmup import target_warmth

_LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000


class CallbackParts(typing.NamedTuple):
    """Parts that the callbacks use."""

    members: member_table.MemberTable
    hlc: hybrid_clock.HybridClock
    mirror: row_mirror.RowMirror
    exchange: row_exchange.RowExchange
    store: shared_table.SharedTable
    watchers: tuple[table_watcher.TableWatcher, ...]
    election: store_follower_election.StoreFollowerElection
    config: config_holder.ConfigHolder
    rollouts: rollout_registry.RolloutRegistry
    registry: target_registry.TargetRegistry
    gate: target_gate.TargetGate
    slack: retry_slack.RetrySlack
    placement: target_placement.TargetPlacement
    limits: connection_limits.ConnectionLimits
    syncs: tuple[neighbour_sync.NeighbourSync, ...]
    warmth: target_warmth.TargetWarmth
    evacuations: evacuations_module.Evacuations


class MeshCallbacks:
    """Callbacks of a node.

    They are created before the parts that they use; `connect` sets the parts.
    """

    def __init__(self):
        self._parts: CallbackParts | None = None

    def connect(self, parts: CallbackParts) -> None:
        """Sets the parts that the callbacks use."""
        self._parts = parts

    def own_heartbeat(self) -> heartbeat.Heartbeat:
        """Returns the heartbeat to send on links."""
        self._update_claim()
        parts = self._parts
        return heartbeat.Heartbeat(
            held_seq=parts.config.version,
            member_digest=parts.members.digest(),
            hlc=parts.hlc.now(),
            table_revisions=parts.mirror.revisions,
            follows_store=self._claims_to_follow(),
            evacuations=parts.evacuations.records(),
        )

    async def on_heartbeat(
        self, sender: str, message: heartbeat.Heartbeat
    ) -> None:
        """Handles the heartbeat of a peer."""
        self._parts.hlc.observe(message.hlc)
        self._parts.evacuations.merge(message.evacuations)
        self._parts.election.record_heartbeat(
            sender, is_following=message.follows_store
        )
        for watcher in self._parts.watchers:
            watcher.stop_if_not_elected()
        for sync in self._parts.syncs:
            await sync.on_heartbeat(sender)
        await self._parts.exchange.on_heartbeat(sender, message)

    def on_newer_peer(self) -> None:
        """Restarts the watches because a peer has newer rows."""
        for watcher in self._parts.watchers:
            watcher.restart_watch()

    async def on_store_changed(self) -> None:
        """Announces new rows, and whether this node follows the store."""
        self._update_claim()
        await self._parts.exchange.announce()

    async def refresh(self, table: str) -> None:
        """Reads a table, after a write met rows that this node did not know.

        Raises:
            exceptions.PlatformUnavailableError: There was no valid response.
        """
        page = await self._parts.store.read(table)
        # The watch delivers deletions that this read does not prove.
        if self._parts.mirror.replace(table, page, may_lag=True):
            await self._parts.exchange.announce()

    def is_following(self) -> bool:
        """Returns whether this node follows all tables of the store."""
        return all(watcher.is_following for watcher in self._parts.watchers)

    def _update_claim(self) -> None:
        """Announces whether this node follows; a claim ends by its age too."""
        members = self._parts.members
        if members.own.follows_store != self._claims_to_follow():
            members.update_own(follows_store=self._claims_to_follow())

    def _claims_to_follow(self) -> bool:
        return self.is_following() or (
            self._parts.election.is_claiming and self.is_store_healthy()
        )

    def held_version(self) -> int:
        """Returns the configuration version that this node runs."""
        return self._parts.config.version

    def tenants(self) -> tenant_table.TenantTable | None:
        """Returns the tenants in force; None if requests need no keys."""
        return self._parts.config.tenants

    def is_store_healthy(self) -> bool:
        """Returns whether the store answers all watches."""
        return all(watcher.is_healthy for watcher in self._parts.watchers)

    def proximity_of(self, node_id: str) -> proximity.Proximity:
        """Returns the proximity of a node; an unknown one counts as far."""
        record = self._parts.members.get(node_id)
        if record is None:
            return proximity.Proximity.OTHER_REGION
        return proximity.between(self._parts.members.own, record)

    def on_target_changed(self) -> None:
        """Updates the gate and the own member record."""
        parts = self._parts
        target = parts.registry.current
        parts.gate.on_target_changed()
        parts.members.update_own(
            target_id=target.target_id,
            target_state=target.state,
            version=target.version,
            slots=target.slots,
            target_born_ms=target.born_ms,
            target_sequence=target.sequence,
        )

    def on_target_condition(
        self, target_id: str, condition: target_condition.TargetCondition
    ) -> None:
        """Applies what the target says of itself in an answer."""
        self._parts.gate.apply_condition(target_id, condition)

    def on_target_cold_ms(self, target_id: str, cold_ms: int) -> None:
        """Applies for how long the target says that it stays cold."""
        current = self._parts.registry.current
        if current is not None and current.target_id == target_id:
            self._parts.warmth.answer(cold_ms, starts=None)

    def evacuation_changed(self, data_centre: str, is_evacuated: bool) -> None:
        """Refuses the waiting calls, or asks how warm the target is."""
        parts = self._parts
        if data_centre != parts.members.own.data_centre:
            return
        if is_evacuated:
            parts.gate.refuse_waiting(
                lambda: exceptions.EvacuatedError(
                    "the data centre is evacuated"
                )
            )
        else:
            parts.warmth.assume("evacuation-ended")

    def on_former_record(self, former: member_record.MemberRecord) -> None:
        """Restores the target from the record of this node's previous run."""
        self._parts.registry.restore(former)

    def members_changed(
        self, changed: tuple[member_record.MemberRecord, ...]
    ) -> None:
        """Updates the parts that depend on the live nodes."""
        del changed
        live = self._parts.members.live()
        self._parts.slack.set_nodes(len(live))
        self._parts.placement.retain_only({record.node_id for record in live})

    def rows_changed(self, rows: tuple[table_row.TableRow, ...]) -> None:
        """Applies changed rows; malformed ones are logged and skipped."""
        for watcher in self._parts.watchers:
            watcher.restart_if_restored()
        for row in rows:
            try:
                self._apply_row(row)
            except exceptions.DocumentError as error:
                _LOGGER.warning(
                    "event=row-refused table=%s key=%s revision=%d error=%s",
                    row.table,
                    row.key,
                    row.revision,
                    error,
                )

    def _apply_row(self, row: table_row.TableRow) -> None:
        parts = self._parts
        if row.table == rollout_rows.PROGRESS_TABLE:
            if row.is_deleted:
                parts.rollouts.remove_progress(row.key, row.revision)
            else:
                parts.rollouts.update_progress(
                    rollout_rows.decode_progress(row)
                )
        elif (place := evacuation_rows.data_centre(row)) is not None:
            if row.is_deleted:
                parts.evacuations.end(place, row.revision)
            else:
                parts.evacuations.begin(place, row.revision)
        elif row.key == config_document.KEY:
            self._apply_config(row)
        elif row.key.startswith(rollout_rows.ORDER_PREFIX):
            if row.is_deleted:
                service = row.key.removeprefix(rollout_rows.ORDER_PREFIX)
                parts.rollouts.remove_order(service, row.revision)
            else:
                parts.rollouts.update_order(rollout_rows.decode_order(row))

    def _apply_config(self, row: table_row.TableRow) -> None:
        # Deleting the row must not leave the node without a configuration:
        # the last one stays in force.
        if row.is_deleted:
            _LOGGER.warning("event=config-deleted revision=%d", row.revision)
            return
        parts = self._parts
        # Set before, so that it stays set if decoding fails.
        parts.config.is_newest_refused = True
        config = config_document.decode(row.value)
        parts.config.is_newest_refused = False
        if not parts.config.apply_if_newer(config):
            return
        _apply_limits(parts.limits, config.limits)
        service = parts.members.own.service
        parts.gate.limit_connections(
            parts.config.table.max_connections(service)
        )
        parts.warmth.configure(config.warm_ups.get(service, warm_up.WarmUp()))


def _apply_limits(
    limits: connection_limits.ConnectionLimits,
    configured: caller_limits.CallerLimits,
) -> None:
    limits.max_header_bytes = configured.max_header_bytes
    # The body has to fit into a frame between nodes.
    limits.max_body_bytes = min(
        configured.max_body_bytes,
        connection_limits.ConnectionLimits().max_body_bytes,
    )
    limits.header_timeout_s = configured.header_timeout_ms / MS_PER_S
    limits.idle_timeout_s = configured.idle_timeout_ms / MS_PER_S
