"""Text exposition of a node's metrics."""

import collections.abc
import resource
import time

from galenatack.app import parts as parts_module
from galenatack.invariants import violations

_BYTES_PER_KIB = 1024


def render(parts: parts_module.Parts) -> str:
    """Returns all metrics, one sample per line."""
    lines = [
        _sample("held_seq", parts.state.held_seq),
        _sample("running_seq", parts.state.running_seq),
        _sample("calls_in_flight", parts.gate.in_flight),
        _sample("calls_queued", parts.gate.queued),
        _sample("members", len(parts.members.live())),
        _sample("process_cpu_seconds_total", time.process_time()),
        _sample("process_max_resident_bytes", _max_resident_bytes()),
    ]
    lines += _target(parts)
    lines += _violations(violations.counts())
    lines += _traffic(parts)
    return "\n".join(lines) + "\n"


def _sample(
    name: str,
    value: float,
    labels: collections.abc.Mapping[str, str] | None = None,
) -> str:
    inner = ",".join(
        f'{key}="{label}"' for key, label in (labels or {}).items()
    )
    braces = f"{{{inner}}}" if inner else ""
    return f"galenatack_{name}{braces} {value}"


def _max_resident_bytes() -> int:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_maxrss * _BYTES_PER_KIB


def _target(parts: parts_module.Parts) -> list[str]:
    lines = []
    for sample in parts.outcomes.samples():
        labels = {"route": sample.route}
        lines.append(_sample("target_calls_total", sample.calls, labels))
        lines.append(_sample("target_errors_total", sample.errors, labels))
        for percentile, latency_ms in sample.latency_ms.items():
            quantile = {"quantile": f"{percentile / 100:g}"}
            lines.append(
                _sample("target_latency_ms", latency_ms, labels | quantile)
            )
    return lines


def _violations(counts: collections.abc.Mapping[str, int]) -> list[str]:
    return [
        _sample("invariant_violations_total", count, {"code": code})
        for code, count in sorted(counts.items())
    ]


def _traffic(parts: parts_module.Parts) -> list[str]:
    lines = []
    for key, count in sorted(parts.peers.traffic().items()):
        labels = {name: str(value) for name, value in key._asdict().items()}
        lines.append(_sample("peer_frames_total", count.messages, labels))
        lines.append(_sample("peer_bytes_total", count.payload_bytes, labels))
    return lines
