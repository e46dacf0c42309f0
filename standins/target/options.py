"""Options of the stand-in target."""

import typing


class TargetOptions(typing.NamedTuple):
    """Options of the stand-in target.

    Attributes:
        service: Service name in its answers.
        version: Version in its answers.
        slots: Maximum number of calls that run concurrently.
        connections: Maximum number of accepted calls; more are shed.
        service_ms: Median service time.
        spread: Standard deviation of the logarithm of the service time.
        cold_calls: Number of initial calls that run slower.
        cold_factor: Factor on the service time of these calls.
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
