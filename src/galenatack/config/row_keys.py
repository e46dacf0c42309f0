"""Keys of the table rows that hold the configuration."""

HEAD = "head"
LOG_PREFIX = "log/"
ENTRY_PREFIX = "entry/"
OPERATION_PREFIX = "op/"
PROFILE = "profile/"
SERVICE = "service/"
MOVE = "move/"

_SEQ_DIGITS = 12


def log(seq: int) -> str:
    """Returns the key of the log row of a seq."""
    return f"{LOG_PREFIX}{seq:0{_SEQ_DIGITS}d}"


def entry(key: str) -> str:
    """Returns the key of the row of a configuration entry."""
    return ENTRY_PREFIX + key


def operation(operation_id: str) -> str:
    """Returns the key of the row of an accepted operation."""
    return OPERATION_PREFIX + operation_id
