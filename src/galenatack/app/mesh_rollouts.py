"""Parts of a mesh node that roll out service versions."""

import typing

from galenatack.app import mesh_base
from galenatack.interfaces import shared_table
from galenatack.moves import withdrawals
from galenatack.platform import rollout_rows
from galenatack.rollouts import evidence_pool
from galenatack.rollouts import rollout_driver
from galenatack.rollouts import rollout_registry
from galenatack.rollouts import trial_share
from galenatack.rollouts import version_chooser
from galenatack.traffic import target_directory

TRIAL_SHARE_OF_BOUND = 0.75
"""Fraction of the allowed share that a version on trial gets. The rest is a
reserve for the moment in which all calls switch to the new version."""


class MeshRollouts(typing.NamedTuple):
    """Parts that roll out service versions."""

    registry: rollout_registry.RolloutRegistry
    pool: evidence_pool.EvidencePool
    withdrawn: withdrawals.Withdrawals
    versions: version_chooser.VersionChooser


def make(base: mesh_base.MeshBase) -> MeshRollouts:
    """Makes the parts that roll out service versions."""
    withdrawn = withdrawals.Withdrawals(
        clock=base.clock, peers=base.peers, events=base.events
    )
    registry = rollout_registry.RolloutRegistry(
        clock=base.clock, withdrawn=withdrawn
    )
    bound = base.settings.bounds.trial_share
    return MeshRollouts(
        registry=registry,
        pool=evidence_pool.EvidencePool(
            members=base.members, peers=base.peers, registry=registry
        ),
        withdrawn=withdrawn,
        versions=version_chooser.VersionChooser(
            registry=registry,
            share=trial_share.TrialShare(
                trial_share=bound * TRIAL_SHARE_OF_BOUND
            ),
            clock=base.clock,
        ),
    )


def make_driver(
    base: mesh_base.MeshBase,
    store: shared_table.SharedTable,
    directory: target_directory.TargetDirectory,
    rollouts: MeshRollouts,
) -> rollout_driver.RolloutDriver:
    """Makes the driver that runs rollouts."""
    return rollout_driver.RolloutDriver(
        node_id=base.settings.node_id,
        registry=rollouts.registry,
        pool=rollouts.pool,
        withdrawn=rollouts.withdrawn,
        journal=rollout_rows.RolloutRows(table=store),
        refresh=lambda: base.callbacks.refresh(rollout_rows.PROGRESS_TABLE),
        targets=directory,
        clock=base.clock,
    )
