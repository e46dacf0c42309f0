"""Tests of the configuration that changes in a series."""

import json
import random
import unittest

from galenatack.platform import config_document
from soak import config_series

CHANGES = 300
MIN_BYTES = 55_000


class TestConfigSeries(unittest.TestCase):
    def setUp(self):
        self.series = config_series.ConfigSeries(
            services=("a", "b"), rng=random.Random(1)
        )

    def test_a_change_says_what_the_document_says(self):
        """Otherwise the checks would judge by another configuration."""
        expected = {}
        kinds = set()
        for _ in range(CHANGES):
            former = self.series.version
            for route, services in self.series.change().items():
                kinds.add((bool(expected.get(route)), len(services)))
                expected[route] = services
            self.assertGreater(self.series.version, former)
            self.assertEqual(
                self.written(),
                {
                    config_series.prefix(route): services
                    for route, services in expected.items()
                    if services
                },
            )
        self.assertGreaterEqual(
            kinds, {(False, 1), (False, 2), (True, 0), (True, 1), (True, 2)}
        )

    def test_the_document_is_large(self):
        self.series.change()
        self.assertGreater(len(self.series.document()), MIN_BYTES)

    def test_the_product_takes_every_version(self):
        for _ in range(20):
            self.series.change()
            document = config_document.decode(self.series.document())
            self.assertEqual(document.version, self.series.version)

    def written(self):
        """Returns the services of each prefix in the document."""
        routes = json.loads(self.series.document())["routes"]
        found = {}
        for values in routes["rows"]:
            row = dict(zip(routes["columns"], values, strict=True))
            if not row["prefix"].startswith("/catalogue/"):
                continue
            parts = row["weighted_clusters"] or [{"service": row["service"]}]
            found[row["prefix"]] = frozenset(part["service"] for part in parts)
        return found
