"""Checks whether a node can run an entry."""

import collections.abc

from galenatack import exceptions
from galenatack.config import entry_codec
from galenatack.config import profile_codec
from galenatack.config import row_keys
from galenatack.model import entry


def rejection_reason(
    item: entry.Entry, candidate: collections.abc.Mapping[str, entry.Entry]
) -> str:
    """Returns why the node cannot run an entry, or an empty string.

    Args:
        item: The entry.
        candidate: Entries by key of the state that would run.
    """
    try:
        if item.key.startswith(row_keys.PROFILE):
            return _profile_rejection(item)
        if item.key.startswith(row_keys.SERVICE):
            return _choice_rejection(item, candidate)
        if item.key.startswith(row_keys.MOVE):
            entry_codec.parse_move(item.body)
            return ""
    except exceptions.ProfileInvalidError as error:
        return "; ".join(str(error).splitlines())
    return f"unknown kind of entry {item.key!r}"


def _profile_rejection(item: entry.Entry) -> str:
    value = profile_codec.parse(item.body)
    if row_keys.PROFILE + value.name != item.key:
        return f"body names profile {value.name!r}"
    return ""


def _choice_rejection(
    item: entry.Entry, candidate: collections.abc.Mapping[str, entry.Entry]
) -> str:
    choice = entry_codec.parse_choice(item.body)
    profile_entry = candidate.get(row_keys.PROFILE + choice.profile)
    if profile_entry is None:
        return f"the node runs no profile {choice.profile!r}"
    if choice.version not in profile_codec.parse(profile_entry.body).versions:
        return f"profile {choice.profile!r} lacks {choice.version!r}"
    return ""
