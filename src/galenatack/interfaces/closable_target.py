"""Interface of target links that hold connections."""

import typing

from galenatack.interfaces import closable
from galenatack.interfaces import target_link


class ClosableTarget(
    target_link.TargetLink, closable.Closable, typing.Protocol
):
    """A target link that holds connections."""
