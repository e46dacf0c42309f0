"""Options of the stand-in callers."""

import typing


class CallerOptions(typing.NamedTuple):
    """Options of the stand-in callers.

    Attributes:
        nodes: host:port of the nodes' caller listeners.
        service: Service to call.
        rate: Calls per second.
        duration_s: Duration of the load.
        posting_share: Fraction of calls that are postings, 0 to 1.
        ticket_share: Fraction of postings that use a ticket, 0 to 1.
        read_path: Path of reads.
        posting_path: Path of postings.
        deadline_ms: Deadline of each attempt.
        attempts: Maximum number of attempts of one call.
        seed: Seed for the choice of kinds, nodes and bodies.
    """

    nodes: tuple[str, ...]
    service: str
    rate: float = 20.0
    duration_s: float = 10.0
    posting_share: float = 0.1
    ticket_share: float = 0.5
    read_path: str = "/lots"
    posting_path: str = "/offers"
    deadline_ms: int = 2000
    attempts: int = 4
    seed: int = 1
