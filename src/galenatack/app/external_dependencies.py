"""The external dependencies of a node."""

import collections.abc
import typing

from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import closable
from galenatack.interfaces import closable_target
from galenatack.interfaces import object_store
from galenatack.interfaces import random_source
from galenatack.interfaces import table as table_interface
from galenatack.links import peer_network
from galenatack.timeline import recorder


class ExternalDependencies(typing.NamedTuple):
    """External dependencies of a node; tests pass fakes.

    Attributes:
        clock: Source of time.
        rng: Random source for jitter, choices and identifiers.
        secret_rng: Cryptographic random source for ticket nonces.
        table: The platform's table.
        objects: The platform's object store.
        platform: Connection of `table` and `objects`; closed at shutdown.
        target: The node's own target.
        new_peers: Makes the links; takes the arguments of
            `WebsocketPeers`.
        new_recorder: Makes the event recorder; takes the arguments of
            `Recorder`.
    """

    clock: clock_interface.Clock
    rng: random_source.RandomSource
    secret_rng: random_source.RandomSource
    table: table_interface.Table
    objects: object_store.ObjectStore
    platform: closable.Closable
    target: closable_target.ClosableTarget
    new_peers: collections.abc.Callable[..., peer_network.WebsocketPeers] = (
        peer_network.WebsocketPeers
    )
    new_recorder: collections.abc.Callable[..., recorder.Recorder] = (
        recorder.Recorder
    )
