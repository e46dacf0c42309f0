"""Result of a drill."""

import typing


class Result(typing.NamedTuple):
    """Result of a drill.

    Attributes:
        done: Description of the drill, in one sentence.
        figures: Measured figures by name.
        problems: What failed, one sentence each; empty if the drill passed.
    """

    done: str
    figures: dict[str, typing.Any]
    problems: list[str]
