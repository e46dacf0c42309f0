"""The text exposition format of metrics."""


def sample(
    name: str, value: float, labels: dict[str, str] | None = None
) -> str:
    """Returns one sample in the text exposition format."""
    inner = ",".join(f'{key}="{item}"' for key, item in (labels or {}).items())
    braces = f"{{{inner}}}" if inner else ""
    return f"galenatack_{name}{braces} {float(value):g}"
