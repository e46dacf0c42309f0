"""One request on a route that the configuration may change."""

import dataclasses


@dataclasses.dataclass
class Sighting:
    """One request on a route that the configuration may change.

    Attributes:
        attempt_id: Identifier.
        route: Number of the route.
        form: Form of the request: plain, absolute, or with the root label.
        depth: Number of requests that were sent together with it.
        node: Index of the node that received it.
        life: Number of the start of the node's process that received it.
        sent_s: Time at which it was sent.
        ended_s: Time at which it was answered; 0 without an answer.
        status: HTTP status of the answer; 0 without one.
        is_own: True if the answer belongs to this request.
        service: Service of the target that ran it; empty for none.
    """

    attempt_id: str
    route: int
    form: str
    depth: int
    node: int
    life: int
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    is_own: bool = False
    service: str = ""
