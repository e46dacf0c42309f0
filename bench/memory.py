"""Memory of the components of a node.

Libraries are imported in new processes, cumulatively step by step; control
state is built at design scale and measured by tracemalloc.
"""

import collections.abc
import json
import re
import subprocess
import sys
import tracemalloc
import typing

from bench import bounds
from bench import deltas
from galenatack.config import log_state
from galenatack.config import profile_codec
from galenatack.membership import member_table
from galenatack.messages import delta as delta_module
from galenatack.model import entry
from galenatack.model import member_record
from galenatack.model import service_choice
from galenatack.routing import builder
from galenatack.timeline import hybrid_clock
from galenatack.timeline import recorder
from tests.fakes import manual_clock

MEMBERS = 4400
SERVICES = 570
DATA_CENTRES = 12
REGIONS = 5
_BYTES_PER_MIB = 1 << 20
_KIB_PER_MIB = 1 << 10
_WALL_MS = 1_800_000_000_000

IMPORTS = (
    ("interpreter", ()),
    ("event_loop", ("anyio", "asyncio", "uvloop")),
    ("links", ("websockets.asyncio.server", "cbor2", "ssl")),
    ("caller_side", ("hypercorn.asyncio", "h2.connection")),
    ("client", ("httpcore",)),
    ("settings", ("yaml", "click")),
    ("daemon", ("galenatack.app.daemon",)),
)
"""Import steps; each one includes the imports of the previous steps."""

# httpcore imports trio if installed; only the tests need trio.
_HIDE_TRIO = "import sys; sys.modules['trio'] = None"
_SHOW_RESIDENT = "print(open('/proc/self/status').read())"


def figures() -> bounds.Figures:
    """Returns the memory of imports and of the control state."""
    result = _import_figures()
    state = _state_figures()
    result |= state
    result["memory.control_state_mib"] = sum(state.values())
    return result


def _import_figures() -> bounds.Figures:
    result = {}
    modules: list[str] = []
    for step, names in IMPORTS:
        modules += names
        result[f"memory.with_{step}_mib"] = _resident_mib(modules)
    result["memory.daemon_mib"] = result.pop("memory.with_daemon_mib")
    result["memory.daemon_without_trio_mib"] = _resident_mib(
        modules, before=_HIDE_TRIO
    )
    return result


def _resident_mib(modules: list[str], *, before: str = "") -> float:
    lines = [before, *(f"import {name}" for name in modules)]
    completed = subprocess.run(
        [sys.executable, "-c", "\n".join([*lines, _SHOW_RESIDENT])],
        capture_output=True,
        text=True,
        check=True,
    )
    match = re.search(r"VmRSS:\s+(\d+) kB", completed.stdout)
    return int(match[1]) / _KIB_PER_MIB


def _state_figures() -> bounds.Figures:
    bodies = _bodies()
    table, members_mib = _traced(design_members)
    state, log_mib = _traced(lambda: _log_state(bodies))
    kept, snapshot_mib = _traced(lambda: _snapshot(bodies, table))
    events, events_mib = _traced(_full_recorder)
    del state, kept, events
    return {
        "memory.state.members_mib": members_mib,
        "memory.state.log_mib": log_mib,
        "memory.state.snapshot_mib": snapshot_mib,
        "memory.state.events_mib": events_mib,
    }


def _traced(
    make: collections.abc.Callable[[], typing.Any],
) -> tuple[typing.Any, float]:
    tracemalloc.start()
    result = make()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return result, size_bytes / _BYTES_PER_MIB


def _record(number: int) -> member_record.MemberRecord:
    # Each record has its own strings, as after decoding from the wire.
    data_centre = number % DATA_CENTRES
    return member_record.MemberRecord(
        node_id=f"service{number % SERVICES:03}-{number:04}",
        incarnation=_WALL_MS + number,
        status="".join(("ser", "ving")),
        data_centre=f"data-centre-{data_centre}",
        region=f"region-{data_centre % REGIONS}",
        service=f"service{number % SERVICES:03}",
        version=".".join(("2027", "01", "1")),
        call_address=f"10.20.{number >> 8}.{number & 255}:7101",
        peer_address=f"10.20.{number >> 8}.{number & 255}:7100",
        admin_address=f"10.20.{number >> 8}.{number & 255}:7102",
        slots=12,
        boot_ms=_WALL_MS + number,
    )


def design_members() -> member_table.MemberTable:
    """Returns a member table at design scale."""
    table = member_table.MemberTable(
        own=_record(0), clock=manual_clock.ManualClock()
    )
    for number in range(1, MEMBERS):
        table.merge((_record(number),))
    return table


def _full_recorder() -> recorder.Recorder:
    clock = manual_clock.ManualClock()
    hlc = hybrid_clock.HybridClock(clock=clock)
    events = recorder.Recorder(
        node_id="service000-0000", incarnation=_WALL_MS, hlc=hlc
    )
    for number in range(recorder.DEFAULT_CAPACITY):
        events.record("change-running", seq=number)
    return events


def _bodies() -> dict[str, bytes]:
    return deltas.example_state(SERVICES)


def _log_state(bodies: dict[str, bytes]) -> log_state.LogState:
    state = log_state.LogState(node_id="n0")
    entries = [
        entry.Entry(key, number, 1, f"{number:064}", bytes(bytearray(body)))
        for number, (key, body) in enumerate(bodies.items(), 1)
    ]
    state.hold(delta_module.Delta(0, len(entries), tuple(entries), None))
    state.run_up_to(len(entries))
    return state


def _snapshot(
    bodies: dict[str, bytes], table: member_table.MemberTable
) -> typing.Any:
    choices = [
        service_choice.ServiceChoice(
            json.loads(body)["service"], json.loads(body)["name"], "v1"
        )
        for body in bodies.values()
    ]
    return builder.build(
        profiles=[profile_codec.parse(body) for body in bodies.values()],
        choices=choices,
        moves=[],
        members=table.records(),
        withdrawn=(),
        own=table.own,
    )
