"""Invariant 1: a node never runs an older version than before."""

import collections.abc

from galenatack import exceptions
from galenatack.invariants import violations
from galenatack.model import entry


class VersionOrderError(exceptions.InvariantViolationError):
    """The running seq or the version of an entry decreased."""

    code = "invariant-version-order"


def check(
    *,
    node_id: str,
    old_seq: int,
    new_seq: int,
    old: collections.abc.Mapping[str, entry.Entry],
    new: collections.abc.Mapping[str, entry.Entry],
) -> None:
    """Compares the running state before and after a step.

    Args:
        node_id: Node that applies the step.
        old_seq: Running seq before the step.
        new_seq: Running seq after the step.
        old: Running entries by key before the step.
        new: Running entries by key after the step.

    Raises:
        VersionOrderError: A seq or version decreased and the mode is `raise`.
    """
    if new_seq < old_seq:
        violations.report(
            VersionOrderError(
                "running seq went back",
                node_id=node_id,
                old_seq=old_seq,
                new_seq=new_seq,
            )
        )
    for key, before in old.items():
        _check_entry(node_id, key, before, new.get(key))


def _check_entry(
    node_id: str, key: str, before: entry.Entry, after: entry.Entry | None
) -> None:
    if after is not None and after.version >= before.version:
        return
    violations.report(
        VersionOrderError(
            "entry version went back",
            node_id=node_id,
            key=key,
            old_version=before.version,
            new_version=after.version if after else None,
        )
    )
