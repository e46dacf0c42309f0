"""The open links of a node."""

import collections

from galenatack.links import link_purpose
from galenatack.links import peer_link

MAX_DIRECT_LINKS = 32
"""Direct links that this node keeps open by its own dialling."""


class LinkBook:
    """Open links by peer; the newest of a peer is used first.

    A restarted peer can have a new link while its old one is still silent.
    """

    def __init__(self):
        self._links: dict[str, list[peer_link.PeerLink]] = (
            collections.defaultdict(list)
        )

    def add(self, link: peer_link.PeerLink) -> None:
        """Adds an open link."""
        self._links[link.node_id].insert(0, link)

    def remove(self, link: peer_link.PeerLink) -> None:
        """Removes a closed link."""
        left = self._links[link.node_id]
        left.remove(link)
        if not left:
            del self._links[link.node_id]

    def links(self) -> tuple[peer_link.PeerLink, ...]:
        """Returns all links."""
        return tuple(link for links in self._links.values() for link in links)

    def find(
        self, node_id: str, *, for_calls: bool
    ) -> peer_link.PeerLink | None:
        """Returns an open link to a node for calls or for anything else."""
        for link in self._links.get(node_id, ()):
            is_calls = link.purpose == link_purpose.LinkPurpose.CALLS
            if is_calls == for_calls and not link.closed.is_set():
                return link
        return None

    def find_kept(self, node_id: str) -> peer_link.PeerLink | None:
        """Returns an open overlay or carrier link to a node."""
        for link in self._links.get(node_id, ()):
            if link.purpose in link_purpose.KEPT and not link.closed.is_set():
                return link
        return None

    def kept(self) -> tuple[peer_link.PeerLink, ...]:
        """Returns one overlay or carrier link for each peer that has one."""
        found = (self.find_kept(node_id) for node_id in self._links)
        return tuple(link for link in found if link is not None)

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
