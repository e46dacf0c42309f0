"""Options of the stand-in target."""

import typing


class TargetOptions(typing.NamedTuple):
    """Options of the stand-in target.

    Attributes:
        service: Service that it says it is.
        version: Version that it says it is.
        slots: Calls that it runs at once.
        connections: Calls that it accepts at once; more are shed.
        service_ms: Median service time.
        spread: Sigma of the logarithm of the service time.
        cold_calls: First calls that run slower.
        cold_factor: How much slower they run.
        seed: Seed of the service times and of the faults.
    """

    service: str
    version: str
    slots: int = 12
    connections: int = 100
    service_ms: float = 20.0
    spread: float = 0.3
    cold_calls: int = 20
    cold_factor: float = 3.0
    seed: int = 1
