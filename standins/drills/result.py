"""What came of a drill."""

import typing


class Result(typing.NamedTuple):
    """What came of a drill.

    Attributes:
        done: What was done, in one sentence.
        figures: Measured figures by name.
        problems: What failed, a sentence each; empty when the drill passed.
    """

    done: str
    figures: dict[str, typing.Any]
    problems: list[str]
