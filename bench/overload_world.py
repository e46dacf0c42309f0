"""Simulated callers and targets of the overload benchmark.

Queues, paces and placement are those of the nodes; time is virtual and there is
no network.
"""

import asyncio
import itertools
import random
import typing

from bench import call_class
from bench import call_trait
from bench import overload_crowd
from bench import overload_features
from bench import overload_node
from bench import overload_tally
from bench import overload_target
from bench import uneven_work
from tests.fakes import virtual_loop
from tests.placement import fleet_load

MS_PER_S = 1000.0

PLACES = (
    ("dc-a", "north"),
    ("dc-b", "north"),
    ("dc-c", "south"),
    ("dc-d", "south"),
)
TARGETS_PER_PLACE = 2
SLOTS = 12

CLASSES = (
    call_class.CallClass("urgent", 0.2, 45.0, 150, 400, 0),
    call_class.CallClass("standard", 0.6, 90.0, 300, 1000, 1),
    call_class.CallClass("bulk", 0.2, 90.0, 1000, 3000, 2),
)
PART = call_class.CallClass("part", 0.0, 30.0, 150, 1000, 1)
"""Calls that runs make, if they do; their deadline is what is left of that of
the run."""


class Load(typing.NamedTuple):
    """Load of one run.

    Attributes:
        seed: Seed.
        factor: Offered load as a multiple of the capacity.
        is_limited: Whether the targets limit their rates to half of what
            their slots allow.
        warm_s: Time before calls are counted.
        seconds: Time in which calls are counted.
        features: What the nodes tell each other.
        crowd: Tenants that send the requests; None without tenants. They send
            `standard` requests only.
        nested: Share of the `standard` requests whose runs make a call.
        part: Class of these calls.
        scene: Calls and machines that differ in their work; None for even
            ones.
    """

    seed: int
    factor: float
    is_limited: bool
    warm_s: float = 3.0
    seconds: float = 12.0
    features: overload_features.Features = overload_features.Features()
    crowd: overload_crowd.Crowd | None = None
    nested: float = 0.0
    part: call_class.CallClass = PART
    scene: uneven_work.Scene | None = None

    @property
    def classes(self) -> tuple[call_class.CallClass, ...]:
        """Classes of the requests."""
        if self.scene is not None:
            return self.scene.classes
        return CLASSES if self.crowd is None else CLASSES[1:2]


def capacity_per_s(load: Load) -> float:
    """Returns how many calls all targets can run in a second."""
    slots = len(PLACES) * TARGETS_PER_PLACE * SLOTS
    if load.scene is not None:
        slots = sum(load.scene.speeds) * load.scene.slots
    shares = sum(kind.share for kind in load.classes)
    work_ms = sum(kind.share * kind.work_ms for kind in load.classes)
    full_per_s = slots * MS_PER_S * shares / work_ms
    return full_per_s / 2 if load.is_limited else full_per_s


def play(load: Load) -> overload_tally.Tally:
    """Plays one run in virtual time."""
    return virtual_loop.run(lambda: _play(load))


async def _play(load: Load) -> overload_tally.Tally:
    rng = random.Random(load.seed)
    tally = overload_tally.Tally()
    nodes = _nodes(load, rng, tally)
    rate_per_s = load.factor * capacity_per_s(load)
    loop = asyncio.get_running_loop()
    weights = [kind.share for kind in load.classes]
    async with asyncio.TaskGroup() as tasks:
        for number in itertools.count():
            if loop.time() >= load.warm_s + load.seconds:
                break
            kind = rng.choices(load.classes, weights)[0]
            is_counted = loop.time() >= load.warm_s
            trait = _trait(load, kind, number, rng)
            tasks.create_task(
                rng.choice(nodes).call(kind, trait, is_counted=is_counted)
            )
            await asyncio.sleep(rng.expovariate(rate_per_s))
    return tally


def _trait(
    load: Load, kind: call_class.CallClass, number: int, rng: random.Random
) -> call_trait.CallTrait:
    # Bodies of one size: estimates would look for a cost in the size.
    trait = call_trait.CallTrait(f"{number:08}".encode(), kind.work_ms)
    if load.scene is not None:
        return trait._replace(work_ms=load.scene.mean_ms(kind, rng))
    if load.crowd is not None:
        trait = trait._replace(tenant=load.crowd.draw(rng))
    if kind.name == "standard" and rng.random() < load.nested:
        work_ms = kind.work_ms - load.part.work_ms
        trait = trait._replace(parts=load.part, work_ms=work_ms)
    return trait


def _nodes(
    load: Load, rng: random.Random, tally: overload_tally.Tally
) -> list[overload_node.Node]:
    """Returns a node at each place, with its targets beside it."""
    if load.scene is not None:
        # Spells don't depend on what is drawn for the calls.
        spells_rng = random.Random(load.seed + 1000)
        end_s = load.warm_s + load.seconds
        tally.machines = uneven_work.machines(load.scene, spells_rng, end_s)
    nodes = []
    targets: dict[str, overload_target.Target] = {}
    for place in PLACES if load.scene is None else load.scene.places:
        node = overload_node.Node(
            *place,
            targets,
            rng,
            tally,
            number=len(nodes),
            uses_estimates=load.scene is not None and load.scene.uses_estimates,
        )
        nodes.append(node)
        for _ in range(TARGETS_PER_PLACE):
            target = _target(load, rng, place, len(targets), tally)
            target.call_part = node.try_once
            targets[target.record.node_id] = target
    return nodes


def _target(
    load: Load,
    rng: random.Random,
    place: tuple[str, str],
    number: int,
    tally: overload_tally.Tally,
) -> overload_target.Target:
    limit_per_s = None
    if load.is_limited:
        limit_per_s = capacity_per_s(load) / len(PLACES) / TARGETS_PER_PLACE
    record = fleet_load.member(
        f"t-{place[0]}-{number}",
        data_centre=place[0],
        region=place[1],
        slots=SLOTS if load.scene is None else load.scene.slots,
    )
    machine = tally.machines[number] if tally.machines else None
    return overload_target.Target(
        record, rng, limit_per_s, load.features, machine
    )
