"""Renders the settings reference for the operators' page."""

from galenatack.settings import field_spec
from galenatack.settings import schema

HEADER = (
    "| Key | Expected | Default | Meaning |",
    "| --- | --- | --- | --- |",
)


def render() -> str:
    """Returns the Markdown table of all settings, with a final newline.

    `docs/OPERATIONS.md` contains exactly this text.
    """
    rows = [_row(spec) for spec in schema.FIELDS]
    return "\n".join([*HEADER, *rows]) + "\n"


def _row(spec: field_spec.FieldSpec) -> str:
    cells = (f"`{spec.path}`", spec.expects, _default(spec), spec.meaning)
    return f"| {' | '.join(cells)} |"


def _default(spec: field_spec.FieldSpec) -> str:
    if spec.is_required:
        return "required"
    if spec.default == ():
        return "none"
    if spec.default == "":
        return "empty"
    if isinstance(spec.default, bool):
        return f"`{str(spec.default).lower()}`"
    return f"`{spec.default}`"
