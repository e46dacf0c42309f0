"""Invariant 3: a step of the log is applied completely or not at all."""

import collections.abc

from galenatack import exceptions
from galenatack.invariants import violations
from galenatack.model import entry


class AtomicApplyError(exceptions.InvariantViolationError):
    """Part of a step is missing from the running state."""

    code = "invariant-atomic-apply"


def check(
    *,
    node_id: str,
    step: collections.abc.Iterable[entry.Entry],
    rejected: collections.abc.Container[str],
    old: collections.abc.Mapping[str, entry.Entry],
    new: collections.abc.Mapping[str, entry.Entry],
) -> None:
    """Checks that a step replaced exactly its entries.

    Args:
        node_id: Node that applies the step.
        step: Entries of the step, the latest one of each key.
        rejected: Keys of the entries that the node could not run.
        old: Running entries by key before the step.
        new: Running entries by key after the step.

    Raises:
        AtomicApplyError: A running entry is not the expected one and the mode
            is `raise`.
    """
    expected = dict(old)
    expected.update(
        {
            changed.key: changed
            for changed in step
            if changed.key not in rejected
        }
    )
    differing = sorted(
        key
        for key in expected.keys() | new.keys()
        if expected.get(key) != new.get(key)
    )
    if differing:
        violations.report(
            AtomicApplyError(
                "running state is not the whole step",
                node_id=node_id,
                keys=tuple(differing),
            )
        )
