"""The record of a member, as announced by its node."""

import typing

from galenatack.model import rejection


class MemberRecord(typing.NamedTuple):
    """The record of a member, as announced by its node.

    Attributes:
        node_id: Identifier of the node.
        incarnation: Start time in milliseconds; increased when a suspicion is
            refuted.
        status: `joining`, `serving`, `leaving`, `suspect` or `dead`.
        data_centre: Data centre of the instance.
        region: Region of the data centre.
        service: Service of the node's target.
        version: Version of the node's target.
        peer_address: host:port of the peer listener.
        call_address: host:port of the caller listener.
        admin_address: host:port of the admin listener.
        slots: Number of calls that the target runs concurrently.
        running_seq: Highest seq that the node runs.
        rejections: Profile versions that the node could not run.
        beat: Counter within an incarnation; increases with each change of the
            record.
        boot_ms: Start of the process, wall clock in milliseconds. Unlike the
            incarnation it is not increased when a suspicion is refuted, so
            tickets and claims stay valid.
        target_id: Identifier of the target; empty while there is none.
        target_state: State announced by the target; empty if the target does
            not announce its state.
        target_born_ms: Start time of the target, wall clock in milliseconds.
        target_sequence: Sequence number of the announcement that last changed
            this record.
        follows_store: True if the node follows the shared tables; other nodes
            of its region then get the changes from it.
        has_left: True in the dead record of a node that had announced its
            stop; the others may be cut off and still run.
    """

    node_id: str
    incarnation: int
    status: str
    data_centre: str
    region: str
    service: str
    version: str
    peer_address: str
    call_address: str
    admin_address: str
    slots: int
    running_seq: int = 0
    rejections: tuple[rejection.Rejection, ...] = ()
    beat: int = 0
    boot_ms: int = 0
    target_id: str = ""
    target_state: str = ""
    follows_store: bool = False
    target_born_ms: int = 0
    target_sequence: int = 0
    has_left: bool = False
