"""Compares the sizes of encodings of a configuration change.

Run `python -m bench.deltas`. The table is deterministic.
"""

import collections.abc
import copy
import json
import random
import typing
import zlib

import cbor2

from bench import keyed_diff
from bench import xor_runs
from galenatack.config import canonical_json
from galenatack.config import profile_codec

FLEETS = {"3 services": 3, "570 services": 570}
SEED = 7
# Changes missed within an hour, at 2,300 changes per day.
CHANGES_PER_HOUR = 96
ROUTES = 6

State = dict[str, bytes]
Change = collections.abc.Callable[[dict[str, typing.Any]], None]


def main() -> None:
    """Prints one table for each fleet size."""
    for name, services in FLEETS.items():
        old = example_state(services)
        print(f"\n{name}, bytes (zlib level 6 in brackets)")
        print(
            f"{'change':<26}"
            + "".join(f"{encoding:>22}" for encoding in ENCODINGS)
        )
        for title, new in _scenarios(old):
            cells = [_cell(encode(old, new)) for encode in ENCODINGS.values()]
            print(f"{title:<26}" + "".join(f"{cell:>22}" for cell in cells))


def sizes(services: int) -> list[tuple[str, int, int]]:
    """Returns (title, size of changed entries, size of the full state)."""
    old = example_state(services)
    return [
        (title, len(changed_entries(old, new)), len(full_state(old, new)))
        for title, new in _scenarios(old)
    ]


def full_state(old: State, new: State) -> bytes:
    """Encodes the full state."""
    del old
    return _message(list(new.items()))


def changed_entries(old: State, new: State) -> bytes:
    """Encodes each changed entry in full, as the product does."""
    return _message([(key, new[key]) for key in _changed(old, new)])


def keyed(old: State, new: State) -> bytes:
    """Encodes a keyed diff for each changed entry."""
    items = []
    for key in _changed(old, new):
        before, after = json.loads(old[key]), json.loads(new[key])
        change = keyed_diff.diff(before, after)
        if keyed_diff.patch(before, change) != after:
            raise ValueError(f"keyed diff of {key} does not round-trip")
        items.append((key, canonical_json.dump(change)))
    return _message(items)


def xor(old: State, new: State) -> bytes:
    """Encodes a run-length encoded XOR for each changed entry."""
    items = []
    for key in _changed(old, new):
        change = xor_runs.encode(old[key], new[key])
        if xor_runs.decode(old[key], change) != new[key]:
            raise ValueError(f"XOR of {key} does not round-trip")
        items.append((key, change))
    return _message(items)


ENCODINGS = {
    "full state": full_state,
    "changed entries": changed_entries,
    "keyed diff": keyed,
    "xor runs": xor,
}


def _scenarios(old: State) -> list[tuple[str, State]]:
    rng = random.Random(SEED)
    result = [
        (title, _apply(old, sorted(old)[0], change))
        for title, change in CHANGES.items()
    ]
    missed = old
    for _ in range(CHANGES_PER_HOUR):
        change = rng.choice(list(CHANGES.values()))
        missed = _apply(missed, rng.choice(sorted(old)), change)
    result.append((f"{CHANGES_PER_HOUR} changes missed", missed))
    return result


def _same_width(fields: dict[str, typing.Any]) -> None:
    timeout_ms = fields["routes"][2]["timeout_ms"]
    fields["routes"][2]["timeout_ms"] = 2000 + (timeout_ms + 1) % 5000


def _wider(fields: dict[str, typing.Any]) -> None:
    fields["limits"]["queue_entries"] = 120 + len(fields["versions"])


def _new_version(fields: dict[str, typing.Any]) -> None:
    versions = fields["versions"]
    versions.insert(0, f"v{len(versions) + 1}")
    del versions[profile_codec.MAX_VERSIONS :]


def _new_route(fields: dict[str, typing.Any]) -> None:
    number = len(fields["routes"])
    if number < profile_codec.MAX_ROUTES:
        route = {**fields["routes"][0], "name": f"added{number}"}
        fields["routes"].insert(0, {**route, "prefix": f"/added/{number}"})


CHANGES: dict[str, Change] = {
    "timeout, same width": _same_width,
    "limit, one byte longer": _wider,
    "new version in front": _new_version,
    "new route in front": _new_route,
}


def _apply(old: State, key: str, change: Change) -> State:
    fields = copy.deepcopy(json.loads(old[key]))
    change(fields)
    body = profile_codec.dump(profile_codec.parse(canonical_json.dump(fields)))
    return {**old, key: body}


def example_state(services: int) -> State:
    """Returns canonical bodies of profiles by key."""
    rng = random.Random(SEED)
    state = {}
    for number in range(services):
        name = f"service{number:03d}-normal"
        body = canonical_json.dump(_profile(name, number, rng))
        parsed = profile_codec.parse(body)
        state[f"profile/{name}"] = profile_codec.dump(parsed)
    return state


def _profile(
    name: str, number: int, rng: random.Random
) -> dict[str, typing.Any]:
    return {
        "name": name,
        "service": f"service{number:03d}",
        "versions": ["v1", "v2"],
        "pools": [{"name": "main", "version": "current"}],
        "retry_policies": [{"name": "reads"}, {"name": "once"}],
        "routes": [
            {
                "name": f"route{index}",
                "prefix": f"/{rng.getrandbits(32):08x}/{index}",
                "methods": ["POST"] if index % 3 == 0 else ["GET", "HEAD"],
                "posting": index % 3 == 0,
                "pool": "main",
                "retry_policy": rng.choice(["reads", "once"]),
                "timeout_ms": 2000 + rng.randrange(5000),
            }
            for index in range(ROUTES)
        ],
    }


def _changed(old: State, new: State) -> list[str]:
    return sorted(key for key in new if old.get(key) != new[key])


def _message(items: list[tuple[str, bytes]]) -> bytes:
    """Encodes a delta like the peer links: a CBOR array, type tag first."""
    entries = [
        [key, number, 1, canonical_json.digest(body), body]
        for number, (key, body) in enumerate(items)
    ]
    return cbor2.dumps(["Delta", 0, len(entries), entries, None, 0])


def _cell(message: bytes) -> str:
    return f"{len(message):,} ({len(zlib.compress(message, 6)):,})"


if __name__ == "__main__":
    main()
