"""Reads the operator's rows that evacuate data centres.

The key names the data centre. The value means nothing, so that it is not read:
a malformed one must not keep a data centre in use.
"""

from galenatack.model import table_row
from galenatack.platform import config_document

TABLE = config_document.TABLE
PREFIX = "evacuate/"


def data_centre(row: table_row.TableRow) -> str | None:
    """Returns the data centre that a row evacuates; None for other rows."""
    if row.table != TABLE or not row.key.startswith(PREFIX):
        return None
    return row.key.removeprefix(PREFIX) or None
