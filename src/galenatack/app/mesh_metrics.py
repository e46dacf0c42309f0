"""Text exposition of the metrics of a node on a shared platform."""

import collections
import math
import resource
import time

from galenatack.app import mesh_parts
from galenatack.links import http_request
from galenatack.links import http_response
from galenatack.model import store_revision
from galenatack.timeline import exposition

BYTES_PER_KIB = 1024
_TEXT = (("content-type", "text/plain; version=0.0.4"),)
_OK = 200
_NOT_FOUND = 404


class MeshMetrics:
    """Serves the metrics of a node over HTTP.

    Args:
        parts: The wired parts.
    """

    def __init__(self, *, parts: mesh_parts.MeshParts):
        self._parts = parts

    async def respond(
        self, request: http_request.HttpRequest
    ) -> http_response.HttpResponse:
        """Answers one request."""
        if request.target.partition("?")[0] != "/metrics":
            return http_response.HttpResponse(_NOT_FOUND)
        body = "\n".join(self._lines()) + "\n"
        return http_response.HttpResponse(_OK, _TEXT, body.encode())

    def _lines(self) -> list[str]:
        return [
            *self._process(),
            *self._load(),
            *self._retry_budget(),
            *self._estimates(),
            *self._parts.stats.samples(),
            *self._node_state(),
            *self._store_state(),
            *self._tenants(),
            *self._store(),
            *self._traffic(),
        ]

    def _process(self) -> list[str]:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return [
            exposition.sample("process_cpu_seconds_total", time.process_time()),
            exposition.sample(
                "process_max_resident_bytes", usage.ru_maxrss * BYTES_PER_KIB
            ),
            exposition.sample(
                "log_lines_dropped_total", self._parts.log.dropped_total
            ),
        ]

    def _load(self) -> list[str]:
        parts = self._parts
        limit_per_s = parts.gate.rate_limit_per_s
        return [
            exposition.sample(
                "gate_rate_limit_per_second",
                math.inf if limit_per_s is None else limit_per_s,
            ),
            *self._cold(),
            exposition.sample("calls_in_flight", parts.router.in_flight),
            exposition.sample("gate_running", parts.gate.running),
            exposition.sample("gate_queued", parts.gate.queued),
            exposition.sample("target_stalls_total", parts.gate.stalls),
            exposition.sample(
                "requests_returned_total", parts.router.returned_requests
            ),
            exposition.sample(
                "target_odd_answers_total", parts.target.odd_answers
            ),
            exposition.sample(
                "gate_failure_ratio", parts.gate.failure_permille / 1000
            ),
            exposition.sample("offers_declined_total", parts.router.declined),
            exposition.sample("body_backlog_bytes", parts.bodies.backlog_bytes),
            exposition.sample(
                "bodies_fetched_total", parts.bodies.fetched, {"result": "ok"}
            ),
            exposition.sample(
                "bodies_fetched_total", parts.bodies.failed, {"result": "lost"}
            ),
            exposition.sample("caller_connections", parts.callers.connections),
            *(
                exposition.sample(
                    "requests_refused_total", count, {"status": str(status)}
                )
                for status, count in sorted(
                    parts.callers.stats.refusals.items()
                )
            ),
            exposition.sample(
                "answers_held_total", parts.callers.stats.held_answers
            ),
            exposition.sample(
                "callers_dropped_total", parts.callers.stats.dropped_peers
            ),
            *self._clients(),
        ]

    def _clients(self) -> list[str]:
        account = self._parts.account
        return [
            exposition.sample("client_held_bytes", account.held_bytes),
            exposition.sample(
                "client_held_limit_bytes", account.bounds.held_bytes
            ),
            *(
                exposition.sample("clients_shed_total", count, {"cause": cause})
                for cause, count in sorted(account.shed.items())
            ),
        ]

    def _cold(self) -> list[str]:
        warmup = self._parts.warmup
        rate_per_s = warmup.cold.rate_per_s
        return [
            exposition.sample(
                "gate_cold_rate_per_second",
                math.inf if rate_per_s is None else rate_per_s,
            ),
            *(
                exposition.sample(
                    "gate_cold_calls_total",
                    warmup.cold.counts[end],
                    {"end": end},
                )
                for end in ("sent", "refused")
            ),
            exposition.sample("warmth_probes_total", warmup.probe.probes),
            exposition.sample(
                "warmth_probes_failed_total", warmup.probe.failures
            ),
        ]

    def _retry_budget(self) -> list[str]:
        budget = self._parts.budget
        return [
            exposition.sample(
                "retry_budget_remaining",
                budget.remaining(service),
                {"service": service},
            )
            for service in budget.services()
        ]

    def _estimates(self) -> list[str]:
        estimates = self._parts.estimates
        samples = [
            ("gate_backlog_ms", self._parts.work.backlog_ms(), {}),
            ("cost_classes", estimates.split_total, {}),
            ("requests_placed_total", estimates.used_total, {"by": "cost"}),
            ("requests_placed_total", estimates.unused_total, {"by": "count"}),
        ]
        for service, errors in sorted(estimates.errors.items()):
            for by, error_ms in (
                ("cost", errors.estimated_ms),
                ("count", errors.counted_ms),
            ):
                labels = {"service": service, "by": by}
                samples.append(("prediction_error_ms", error_ms, labels))
        return [exposition.sample(*sample) for sample in samples]

    def _node_state(self) -> list[str]:
        parts = self._parts
        states = collections.Counter(
            (record.status, record.target_state or "none")
            for record in parts.members.records()
        )
        lines = [
            exposition.sample("config_version", parts.config.version),
            exposition.sample("config_refused", parts.config.is_newest_refused),
            exposition.sample(
                "config_unknown_parts", parts.config.unknown_parts
            ),
            *(
                exposition.sample("evacuated", 1, {"data_centre": name})
                for name in sorted(parts.evacuations.active())
            ),
            *(
                exposition.sample(
                    "evacuation_row",
                    1,
                    {
                        "data_centre": name,
                        "era": str(store_revision.era(revision)),
                        # Values are rounded to six digits.
                        "revision": str(store_revision.number(revision)),
                    },
                )
                for name, revision in parts.evacuations.in_force().items()
            ),
            exposition.sample("rollouts_active", len(parts.rollouts.active())),
            exposition.sample("crash_requests_known", len(parts.crashes)),
            exposition.sample(
                "crash_requests_quarantined", parts.crashes.quarantined
            ),
        ]
        for (status, state), count in sorted(states.items()):
            labels = {"status": status, "target": state}
            lines.append(exposition.sample("members", count, labels))
        return lines

    def _store_state(self) -> list[str]:
        parts = self._parts
        now_s = parts.clock.monotonic_s()
        lines = [
            exposition.sample("store_era", parts.mirror.era or 0),
            exposition.sample(
                "store_lost_rows", parts.mirror.lost_rows, {"owner": "any"}
            ),
            exposition.sample(
                "store_lost_rows",
                len(parts.rollouts.lost()),
                {"owner": "nodes"},
            ),
        ]
        for watcher in parts.watchers:
            labels = {"table": watcher.name}
            age_s = now_s - watcher.last_response_s
            lines.append(
                exposition.sample(
                    "store_followed", watcher.is_following, labels
                )
            )
            lines.append(
                exposition.sample("store_healthy", watcher.is_healthy, labels)
            )
            lines.append(
                exposition.sample("store_heard_age_seconds", age_s, labels)
            )
        return lines

    def _tenants(self) -> list[str]:
        freshness = self._parts.tenants.freshness
        lines = self._quotas()
        if freshness is None:
            return lines
        return [
            *lines,
            exposition.sample("tenant_keys_age_seconds", freshness.age_s()),
            exposition.sample(
                "tenant_keys_refused_total", freshness.refused_total
            ),
        ]

    def _quotas(self) -> list[str]:
        quotas = self._parts.tenants.quotas
        owned = [
            exposition.sample("quota_lent_ratio", share, {"group": str(group)})
            for group, share in sorted(quotas.shares().items())
        ]
        refused = [
            exposition.sample("quota_refused_total", count, {"tenant": tenant})
            for tenant, count in sorted(quotas.refused.items())
        ]
        groups = quotas.own_groups()
        return [
            *owned,
            *refused,
            exposition.sample("quota_own_share_groups", groups),
        ]

    def _store(self) -> list[str]:
        return [
            exposition.sample(
                "store_calls_total", count, {"kind": kind, "result": result}
            )
            for (kind, result), count in sorted(self._parts.store.calls.items())
        ]

    def _traffic(self) -> list[str]:
        lines = []
        for key, count in sorted(self._parts.peers.traffic().items()):
            labels = {name: str(value) for name, value in key._asdict().items()}
            lines.append(
                exposition.sample("peer_frames_total", count.messages, labels)
            )
            lines.append(
                exposition.sample(
                    "peer_bytes_total", count.payload_bytes, labels
                )
            )
        return lines
