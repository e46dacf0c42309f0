"""Runs a case and turns its result into an exit status."""

import asyncio
import os
import pathlib
import sys
import traceback

from review.lib2 import deployment

LIMIT_S = 115.0

HELD = 0
BROKEN = 1
CANNOT_RUN = 2


def run(folder, play) -> None:
    """Plays a case and exits.

    Args:
        folder: Folder of the case, for `record.txt`.
        play: Coroutine function that gets the record and whether there is
            trouble, and returns the breaks of the rule that it saw.
    """
    deployment.end_on_signals()
    record = deployment.Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    status = CANNOT_RUN
    try:
        breaks = asyncio.run(_limited(play, record, has_trouble))
        for line in breaks[:10]:
            record.write("rule-broken", detail=repr(line))
        record.write("result", breaks=len(breaks), trouble=has_trouble)
        print(f"{len(breaks)} breaks of the rule, trouble={has_trouble}")
        status = BROKEN if breaks else HELD
    except (deployment.CannotRunError, OSError, TimeoutError) as error:
        record.write("cannot-run", error=repr(error))
        traceback.print_exc()
    finally:
        record.close()
    sys.exit(status)


async def _limited(play, record, has_trouble):
    async with asyncio.timeout(LIMIT_S):
        return await play(record, has_trouble)
