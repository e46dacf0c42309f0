"""Parts of a mesh node that follow the shared tables."""

import typing

from galenatack.app import mesh_base
from galenatack.app import mesh_tenants
from galenatack.config import row_exchange
from galenatack.config import row_mirror
from galenatack.config import store_follower_election
from galenatack.config import table_watcher
from galenatack.interfaces import shared_table
from galenatack.membership import discovery
from galenatack.membership import node_roles
from galenatack.platform import config_document
from galenatack.platform import rollout_rows

MS_PER_S = 1000

CONFIG_INTERVAL_SHARE = 0.2
"""Fraction of the time limit for applying a configuration that a watcher waits
after a change. Versions published in quick succession then cross the link
between regions once."""

WATCH_SHARE = 0.4
"""Fraction of that time limit that the store keeps a watch open."""


class MeshStore(typing.NamedTuple):
    """Parts that follow the shared tables."""

    mirror: row_mirror.RowMirror
    election: store_follower_election.StoreFollowerElection
    watchers: tuple[table_watcher.TableWatcher, ...]
    exchange: row_exchange.RowExchange
    discovery: discovery.Discovery


def make(
    base: mesh_base.MeshBase,
    store: shared_table.SharedTable,
    tenants: mesh_tenants.MeshTenants,
) -> MeshStore:
    """Makes the parts that follow the shared tables."""
    mirror = row_mirror.RowMirror(
        tables=(config_document.TABLE, rollout_rows.PROGRESS_TABLE)
    )
    election = store_follower_election.StoreFollowerElection(
        members=base.members, clock=base.clock
    )
    return MeshStore(
        mirror=mirror,
        election=election,
        watchers=_make_watchers(base, store, mirror, election, tenants),
        exchange=row_exchange.RowExchange(
            mirror=mirror,
            peers=base.peers,
            own_heartbeat=base.callbacks.own_heartbeat,
            on_newer_peer=base.callbacks.on_newer_peer,
            is_following=base.callbacks.is_following,
            is_store_healthy=base.callbacks.is_store_healthy,
            is_first_carrier=lambda: node_roles.is_first_carrier(base.members),
            held_version=base.callbacks.held_version,
            proximity_of=base.callbacks.proximity_of,
            clock=base.clock,
        ),
        discovery=discovery.Discovery(
            table=store,
            members=base.members,
            clock=base.clock,
            rng=base.rng,
            is_discovery_reader=election.should_follow,
            is_linked=lambda: bool(base.peers.neighbours()),
            store_era=lambda: mirror.era,
        ),
    )


def _make_watchers(
    base: mesh_base.MeshBase,
    store: shared_table.SharedTable,
    mirror: row_mirror.RowMirror,
    election: store_follower_election.StoreFollowerElection,
    tenants: mesh_tenants.MeshTenants,
) -> tuple[table_watcher.TableWatcher, ...]:
    bounds = base.settings.bounds
    # Evacuations are rows of the same table.
    config_s = min(bounds.config_ms, bounds.evacuation_ms) / MS_PER_S
    watch_s = dict.fromkeys(
        (config_document.TABLE, rollout_rows.PROGRESS_TABLE),
        config_s * WATCH_SHARE,
    )
    min_intervals_s = {
        config_document.TABLE: config_s * CONFIG_INTERVAL_SHARE,
        rollout_rows.PROGRESS_TABLE: 0.0,
    }
    on_confirmed = {}
    terms = mesh_tenants.strict_terms(base)
    if terms is not None:
        # Only the configuration has keys.
        name = config_document.TABLE
        watch_s[name] = min(watch_s[name], terms.watch_s)
        min_intervals_s[name] = min(min_intervals_s[name], terms.pause_s)
        on_confirmed[name] = {"on_confirmed": tenants.freshness.confirm}
    return tuple(
        table_watcher.TableWatcher(
            name=name,
            table=store,
            mirror=mirror,
            clock=base.clock,
            rng=base.rng,
            should_follow=election.should_follow,
            on_change=base.callbacks.on_store_changed,
            watch_s=watch_s[name],
            min_interval_s=min_interval_s,
            **on_confirmed.get(name, {}),
        )
        for name, min_interval_s in min_intervals_s.items()
    )
