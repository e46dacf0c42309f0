"""Tests of decoding the operator's configuration."""

import json
import unittest

from galenatack import exceptions
from galenatack.model import warm_up
from galenatack.platform import config_document
from galenatack.traffic import weighted_choice

COLUMNS = [
    "name",
    "host",
    "prefix",
    "kind",
    "timeout",
    "target_latency",
    "priority",
    "weighted_clusters",
    "max_attempts",
    "service",
]


def document(*rows, **changes):
    """Returns a configuration as stored."""
    fields = {
        "version": 7,
        "routes": {"columns": COLUMNS, "rows": list(rows)},
        "services": {
            "columns": ["name", "health_path", "max_connections"],
            "rows": [["a", "/health", 110]],
        },
        "limits": {"header_timeout": "3000ms", "idle_timeout": "15s"},
    }
    return json.dumps(fields | changes).encode()


def row(**changes):
    """Returns the values of one route in the order of the columns."""
    fields = {
        "name": "r",
        "host": "H.example",
        "prefix": "/p/",
        "kind": "idempotent",
        "timeout": "0.8s",
        "target_latency": "400ms",
        "priority": 2,
        "weighted_clusters": None,
        "max_attempts": 2,
        "service": "a",
    } | changes
    return [fields[name] for name in COLUMNS]


class TestConfigDocument(unittest.TestCase):
    def test_a_route_is_decoded(self):
        """Times become milliseconds and hosts lower case."""
        config = config_document.decode(document(row()))
        route = config.routes[0]
        self.assertEqual(
            (route.timeout_ms, route.target_latency_ms), (800, 400)
        )
        self.assertEqual(route.host, "h.example")
        self.assertTrue(route.is_idempotent)
        self.assertEqual(config.version, 7)
        self.assertEqual(config.limits.idle_timeout_ms, 15_000)
        self.assertEqual(config.max_connections, {"a": 110})

    def test_weights_replace_the_service(self):
        """A field that is null counts as missing."""
        parts = [
            {"service": "a", "weight": 90},
            {"service": "b", "weight": 10},
        ]
        config = config_document.decode(
            document(row(weighted_clusters=parts, service=None))
        )
        weights = [tuple(part) for part in config.routes[0].services]
        self.assertEqual(weights, [("a", 90), ("b", 10)])

    def test_calls_of_an_unknown_kind_run_at_most_once(self):
        """One unknown word once took all routes away from every node."""
        for kind in ("upload", "sometimes", "IDEMPOTENT"):
            config = config_document.decode(document(row(kind=kind), row()))
            self.assertEqual(
                [route.is_idempotent for route in config.routes], [False, True]
            )
        self.assertEqual(config.routes[0].unknowns, ("kind=IDEMPOTENT",))
        self.assertEqual(config.routes[1].unknowns, ())

    def test_unknown_fields_are_ignored(self):
        """Of the document, a route, a weight, a service and the limits."""
        part = {"service": "a", "weight": 1, "subset": "x"}
        values = [*row(weighted_clusters=[part], service=None), {"new": 1}]
        value = document(
            routes={"columns": [*COLUMNS, "mirror"], "rows": [values]},
            services={
                "columns": ["name", "new"],
                "rows": [["a", [1]]],
            },
            limits={"max_body_bytes": 5, "new": "x"},
            new={},
        )
        config = config_document.decode(value)
        self.assertEqual(config.routes[0].services[0].service, "a")
        self.assertEqual(config.routes[0].unknowns, ())
        self.assertEqual(config.limits.max_body_bytes, 5)

    def test_a_route_with_an_unknown_destination_has_no_service(self):
        """Only its own calls are refused."""
        values = [*row(service=None), "https://elsewhere.example"]
        config = config_document.decode(
            document(
                routes={
                    "columns": [*COLUMNS, "redirect"],
                    "rows": [values, [*row(), None]],
                }
            )
        )
        self.assertEqual(config.routes[0].services, ())
        self.assertEqual(config.routes[0].unknowns, ("redirect",))
        self.assertEqual(config.routes[1].services[0].service, "a")

    def test_numbers_with_decimals_do_not_refuse_the_configuration(self):
        """Weights are proportions; JSON does not tell 2.0 from 2."""
        parts = [
            {"service": "a", "weight": 0.75},
            {"service": "b", "weight": 0.25},
        ]
        changes = {"max_attempts": 2.0, "priority": 1.0, "service": None}
        config = config_document.decode(
            document(
                row(weighted_clusters=parts, **changes),
                version=8.0,
                services={
                    "columns": ["name", "max_connections"],
                    "rows": [["a", 9.0]],
                },
                limits={"max_header_bytes": 2e4, "max_body_bytes": 1e6},
            )
        )
        self.assertEqual(config.max_connections, {"a": 9})
        self.assertEqual(config.limits.max_header_bytes, 20_000)
        self.assertEqual(config.limits.max_body_bytes, 1_000_000)
        route = config.routes[0]
        self.assertEqual(
            (config.version, route.max_attempts, route.priority), (8, 2, 1)
        )
        choice = weighted_choice.WeightedChoice()
        chosen = [choice.pick(route) for _ in range(400)]
        self.assertEqual(chosen.count("a"), 300)

    def test_a_route_for_a_host_with_its_root_label_is_found(self):
        """Requests are looked up without that label."""
        config = config_document.decode(document(row(host="B.example.")))
        self.assertEqual(config.routes[0].host, "b.example")

    def test_a_malformed_value_is_not_taken_for_an_equal_one_of_before(self):
        """A route with the priority 1 is known, one with true is malformed."""
        for name, good, bad in (
            ("priority", 1, True),
            ("priority", 0, False),
            ("max_attempts", 1, True),
        ):
            config_document.decode(document(row(**{name: good})))
            with self.assertRaises(exceptions.DocumentError):
                config_document.decode(document(row(**{name: bad})))
            config_document.decode(document(row(**{name: good})))

    def test_a_malformed_part_invalidates_the_configuration(self):
        """A partly malformed configuration is not decoded at all."""
        bad = (
            document(row(timeout="soon")),
            document(row(kind=5)),
            document(row(kind="")),
            document(row(kind=None)),
            document(row(service=None)),
            document(row()[:-1]),
            document(row(), version="7"),
            document(row(), version=7.5),
            document(row(), version=1e300),
            document(row(max_attempts=1.5)),
            document(row(weighted_clusters=[{"service": "a", "weight": True}])),
            document(row(weighted_clusters=[{"service": "a", "weight": -0.5}])),
            document(row())[:-3],
            b"[]",
        )
        for value in bad:
            with self.assertRaises(exceptions.DocumentError):
                config_document.decode(value)

    def test_cold_targets_and_homes_are_decoded(self):
        """Without them, a service has no rate and a route all regions."""
        columns = ["name", "health_path", "warmup", "warmup_per_s"]
        config = config_document.decode(
            document(
                row(),
                services={
                    "columns": columns,
                    "rows": [["a", "/h", "2.5s", 7.5], ["b", None, None, None]],
                },
            )
        )
        self.assertEqual(
            dict(config.warm_ups),
            {"a": warm_up.WarmUp(2500, 7.5, "/h"), "b": warm_up.WarmUp()},
        )
        self.assertEqual(config.routes[0].home_regions, ())

    def test_a_tenant_whose_name_has_no_utf8_is_refused(self):
        """Its group is a hash of the name, which would fail on every node."""
        tenants = {"columns": ["name"], "rows": [["a\ud800"]]}
        text = json.loads(document(row())) | {"tenants": tenants}
        with self.assertRaises(exceptions.DocumentError):
            config_document.decode(json.dumps(text).encode())

    def test_a_malformed_tenant_is_refused_without_naming_its_keys(self):
        """The text of the error is logged by every node."""
        for tenants in (
            ["secret-1"],
            {"columns": ["name", "api_keys"], "rows": [["t", "secret-1"]]},
            {"columns": ["name", "api_keys"], "rows": [["t", ["secret-1", 5]]]},
            {"columns": ["name", "burst"], "rows": [["t", "secret-1"]]},
        ):
            text = json.loads(document(row())) | {"tenants": tenants}
            with self.assertRaises(exceptions.DocumentError) as caught:
                config_document.decode(json.dumps(text).encode())
            self.assertIn("tenants", str(caught.exception))
            self.assertNotIn("secret", str(caught.exception))
            self.assertIsNone(caught.exception.__cause__)
