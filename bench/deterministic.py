"""Figures that are deterministic for a given code and seed."""

from bench import bounds
from bench import deltas
from bench import peer_bytes
from bench import virtual_convergence

VIRTUAL_SIZES = (12, 48)
_DIRECTIONS = 2


def peer_bytes_figures() -> bounds.Figures:
    """Returns the control bytes of an average node.

    Each byte sent by one node is received by another one, so an average node
    receives as much as it sends.
    """
    return {
        f"peer_bytes.{row.nodes}.{load}.sent_and_received_bytes_per_s": (
            _DIRECTIONS * row.total_bytes_s
        )
        for load, row in peer_bytes.rows()
    }


def delta_figures() -> bounds.Figures:
    """Returns the bytes of changed entries as a share of the full state."""
    result = {}
    for services in deltas.FLEETS.values():
        for title, sent, full in deltas.sizes(services):
            name = title.replace(" ", "_").replace(",", "")
            prefix = f"deltas.{services}.{name}"
            result[f"{prefix}.changed_entries_bytes"] = float(sent)
            result[f"{prefix}.changed_entries_share"] = sent / full
    return result


def virtual_figures() -> bounds.Figures:
    """Returns convergence in virtual time, with its reads and messages."""
    result = {}
    for count in VIRTUAL_SIZES:
        for name, value in virtual_convergence.run(count).items():
            result[f"virtual.{count}.{name}"] = value
    return result
