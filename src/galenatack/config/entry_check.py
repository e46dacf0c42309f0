"""Tells whether a node can run an entry."""

import collections.abc

from galenatack import exceptions
from galenatack.config import entry_codec
from galenatack.config import profile_codec
from galenatack.config import row_keys
from galenatack.model import entry


def rejection_reason(
    item: entry.Entry, step: collections.abc.Mapping[str, entry.Entry]
) -> str:
    """Returns why the node cannot run an entry, or an empty string.

    Args:
        item: The entry.
        step: All entries of the state that would run.
    """
    try:
        if item.key.startswith(row_keys.PROFILE):
            return _against_profile(item)
        if item.key.startswith(row_keys.SERVICE):
            return _against_choice(item, step)
        if item.key.startswith(row_keys.MOVE):
            entry_codec.parse_move(item.body)
            return ""
    except exceptions.ProfileInvalidError as error:
        return "; ".join(str(error).splitlines())
    return f"unknown kind of entry {item.key!r}"


def _against_profile(item: entry.Entry) -> str:
    value = profile_codec.parse(item.body)
    if row_keys.PROFILE + value.name != item.key:
        return f"body names profile {value.name!r}"
    return ""


def _against_choice(
    item: entry.Entry, step: collections.abc.Mapping[str, entry.Entry]
) -> str:
    choice = entry_codec.parse_choice(item.body)
    found = step.get(row_keys.PROFILE + choice.profile)
    if found is None:
        return f"the node runs no profile {choice.profile!r}"
    if choice.version not in profile_codec.parse(found.body).versions:
        return f"profile {choice.profile!r} lacks {choice.version!r}"
    return ""
