"""Parts of a mesh node that protect its own target while it is cold."""

import typing

from galenatack.admission import target_registry
from galenatack.app import mesh_base
from galenatack.links import translated_target
from galenatack.warmup import cold_admission
from galenatack.warmup import target_warmth
from galenatack.warmup import warmth_probe


class MeshWarmup(typing.NamedTuple):
    """Parts that protect the own target while it is cold."""

    warmth: target_warmth.TargetWarmth
    cold: cold_admission.ColdAdmission
    probe: warmth_probe.WarmthProbe


def make(
    base: mesh_base.MeshBase,
    registry: target_registry.TargetRegistry,
    target: translated_target.TranslatedTarget,
) -> MeshWarmup:
    """Makes the parts that protect the own target while it is cold."""
    warmth = target_warmth.TargetWarmth(
        clock=base.clock,
        bounds=base.settings.bounds,
        is_evacuated=lambda: base.evacuations.has_evacuated(
            base.settings.data_centre
        ),
    )

    async def ask(path: str) -> int | None:
        if registry.current is None:
            return None
        return await target.ask_cold_ms(path, registry.current.target_id)

    return MeshWarmup(
        warmth=warmth,
        cold=cold_admission.ColdAdmission(warmth=warmth),
        probe=warmth_probe.WarmthProbe(
            warmth=warmth, ask=ask, clock=base.clock
        ),
    )
