"""The open links of a node."""

import collections

from galenatack.links import link_purpose
from galenatack.links import peer_link

SURPLUS_S = 1.0
"""A surplus link is closed after this long without a call.

Both sides switch to the preferred link within the one-way delay between
regions, so no call is sent over this one afterwards.
"""

MAX_DIRECT_LINKS = 32
"""Maximum number of open direct links that this node dialled."""


class LinkRegistry:
    """Open links by peer; the newest of a peer is preferred.

    A restarted peer can have a new link before its silent old one is closed.
    If two nodes dial each other at the same moment, both use the link that
    the lower id dialled, and the other one can be closed.

    Args:
        own_id: Id of this node.
    """

    def __init__(self, *, own_id: str):
        self._own_id = own_id
        self._links: dict[str, list[peer_link.PeerLink]] = (
            collections.defaultdict(list)
        )

    def add(self, link: peer_link.PeerLink) -> None:
        """Adds an open link."""
        self._links[link.node_id].insert(0, link)

    def remove(self, link: peer_link.PeerLink) -> None:
        """Removes a closed link."""
        remaining = self._links[link.node_id]
        remaining.remove(link)
        if not remaining:
            del self._links[link.node_id]

    def links(self) -> tuple[peer_link.PeerLink, ...]:
        """Returns all links."""
        return tuple(link for links in self._links.values() for link in links)

    def find(
        self, node_id: str, *, for_calls: bool
    ) -> peer_link.PeerLink | None:
        """Returns an open link to a node, for calls or for other messages."""
        if for_calls:
            calls = self._calls(node_id)
            return calls[0] if calls else None
        for link in self._links.get(node_id, ()):
            is_calls = link.purpose == link_purpose.LinkPurpose.CALLS
            if not is_calls and not link.closed.is_set():
                return link
        return None

    def _calls(self, node_id: str) -> list[peer_link.PeerLink]:
        """Returns the open links for calls, the preferred one first."""
        calls = [
            link
            for link in self._links.get(node_id, ())
            if link.purpose == link_purpose.LinkPurpose.CALLS
            and not link.closed.is_set()
        ]
        if len(calls) > 1:
            # The sort is stable: among equals, the newest comes first.
            calls.sort(
                key=lambda link: (
                    -link.record.boot_ms,
                    self._own_id if link.dialled else link.node_id,
                )
            )
        return calls

    def find_persistent(self, node_id: str) -> peer_link.PeerLink | None:
        """Returns an open overlay or carrier link to a node."""
        for link in self._links.get(node_id, ()):
            if (
                link.purpose in link_purpose.PERSISTENT
                and not link.closed.is_set()
            ):
                return link
        return None

    def persistent(self) -> tuple[peer_link.PeerLink, ...]:
        """Returns one overlay or carrier link for each peer that has one."""
        calls = (self.find_persistent(node_id) for node_id in self._links)
        return tuple(link for link in calls if link is not None)

    def surplus_direct(self) -> tuple[peer_link.PeerLink, ...]:
        """Returns the least recently used direct links above the limit."""
        direct = sorted(
            (
                link
                for link in self.links()
                if link.dialled
                and link.purpose == link_purpose.LinkPurpose.DIRECT
            ),
            key=lambda link: link.used_s,
        )
        idle = [link for link in direct if not link.pending_requests]
        return tuple(idle[: max(0, len(direct) - MAX_DIRECT_LINKS)])

    def surplus_calls(self, now_s: float) -> tuple[peer_link.PeerLink, ...]:
        """Returns dialled links for calls that neither side uses any more."""
        return tuple(
            link
            for node_id in self._links
            for link in self._calls(node_id)[1:]
            if link.dialled
            and not link.pending_requests
            and not link.serving
            and now_s - link.used_s > SURPLUS_S
        )
