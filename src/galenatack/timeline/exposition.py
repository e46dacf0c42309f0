"""The text exposition format of metrics."""


def sample(
    name: str, value: float, labels: dict[str, str] | None = None
) -> str:
    """Returns one sample in the text exposition format."""
    pairs = ",".join(f'{key}="{item}"' for key, item in (labels or {}).items())
    label_text = f"{{{pairs}}}" if pairs else ""
    return f"galenatack_{name}{label_text} {float(value):g}"
