"""Tests of the settings loader and the settings reference."""

import pathlib
import tempfile
import unittest

import yaml

from galenatack import exceptions
from galenatack.settings import loader
from galenatack.settings import node_settings
from galenatack.settings import reference
from galenatack.settings import schema
from galenatack.settings import trust_settings


def _document(**changes: object) -> dict:
    document = {
        "deployment": "cocotera",
        "node_id": "valparaiso-a-1",
        "data_centre": "valparaiso-a",
        "region": "centro",
        "service": "prices",
        "version": "v1",
        "call_address": "127.0.0.1:7001",
        "peer_address": "127.0.0.1:7002",
        "admin_address": "127.0.0.1:7003",
        "target_url": "http://127.0.0.1:7004",
        "platform_url": "http://127.0.0.1:7005/",
        "seeds": ["127.0.0.1:7012", "[::1]:7022"],
        "slots": 12,
        "trust": {"mode": "none", "ticket_key": "k" * 16},
    }
    document.update(changes)
    return {key: value for key, value in document.items() if value != "-"}


class TestLoader(unittest.TestCase):
    def setUp(self):
        """Creates a folder for each test."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name) / "node.yaml"

    def _load(self, document: object) -> node_settings.NodeSettings:
        text = document if isinstance(document, str) else yaml.dump(document)
        self.file.write_text(text, encoding="utf-8")
        return loader.load(self.file)

    def _errors(self, document: object) -> list[str]:
        with self.assertRaises(exceptions.SettingsError) as caught:
            self._load(document)
        lines = str(caught.exception).splitlines()
        for line in lines:
            self.assertTrue(line.startswith(str(self.file)), line)
        return [line.removeprefix(f"{self.file}: ") for line in lines]

    def test_defaults(self):
        """A file with the required keys loads with the defaults."""
        settings = self._load(_document())
        self.assertEqual(settings.seeds, ("127.0.0.1:7012", "[::1]:7022"))
        self.assertEqual(settings.platform_url, "http://127.0.0.1:7005")
        defaults = node_settings.NodeSettings._field_defaults
        for field, value in defaults.items():
            self.assertEqual(getattr(settings, field), value)
        trust = trust_settings.TrustSettings("none", "k" * 16)
        self.assertEqual(settings.trust, trust)

    def test_all_errors_at_once(self):
        """Each error has its own line, as do unknown and missing keys."""
        errors = self._errors(
            _document(slots="twelve", region="-", drain=10, node_id="a b")
        )
        self.assertEqual(len(errors), 4)
        self.assertIn("unknown key; did you mean drain_ms?", errors[3])
        paths = [line.split(":")[0] for line in errors]
        self.assertEqual(paths, ["node_id", "region", "slots", "drain"])

    def test_invalid_values(self):
        """Invalid types, units, ranges and addresses are each refused."""
        for field, values in {
            "slots": (0, 10_001, True, 1.5, "12", None),
            "drain_ms": ("10s", -1, 600_001, 0.5),
            "fault_injection": ("yes please", 1),
            "log_level": ("info", 3),
            "invariants": ("ignore",),
            "seeds": ("127.0.0.1:1", ["x"], ["127.0.0.1:1"] * 2, [1]),
            "call_address": (
                "127.0.0.1",
                "host:80",
                "127.0.0.1:0",
                "127.0.0.1:65536",
                "0.0.0.0:80",
                "::1:80",
                "127.0.0.1:٣",
            ),
            "target_url": (
                "127.0.0.1:80",
                "ftp://127.0.0.1:80",
                "http://127.0.0.1",
                "http://127.0.0.1:80/x",
                "http://127.0.0.1:80?x",
            ),
        }.items():
            for value in values:
                errors = self._errors(_document(**{field: value}))
                self.assertEqual(len(errors), 1, (field, value))
                self.assertTrue(errors[0].startswith(f"{field}: expected"))

    def test_mtls_needs_files(self):
        """Mutual TLS needs three files that exist next to the settings."""
        trust = {"mode": "mtls", "ticket_key": "k" * 16, "ca_file": "ca.pem"}
        errors = self._errors(_document(trust=trust))
        self.assertEqual(len(errors), 3)
        for name in ("ca", "cert", "key"):
            trust[f"{name}_file"] = f"{name}.pem"
            (self.file.parent / f"{name}.pem").write_text("")
        settings = self._load(_document(trust=trust))
        expected = str(self.file.parent / "ca.pem")
        self.assertEqual(settings.trust.ca_file, expected)

    def test_secrets_are_not_shown(self):
        """An error about a secret does not print it."""
        trust = {
            "mode": "none",
            "ticket_key": "too short",
            "viewer_tokens": ["tiny"],
        }
        errors = self._errors(_document(trust=trust))
        self.assertEqual(len(errors), 2)
        self.assertNotIn("too short", "".join(errors))
        self.assertNotIn("tiny", "".join(errors))

    def test_roles_overlap(self):
        """A token cannot have both roles."""
        trust = _document()["trust"]
        trust["operator_tokens"] = trust["viewer_tokens"] = ["t" * 16]
        self.assertEqual(len(self._errors(_document(trust=trust))), 1)

    def test_same_address_twice(self):
        """Two listeners cannot share an address."""
        errors = self._errors(_document(peer_address="127.0.0.1:7001"))
        self.assertIn("another address than call_address", errors[0])

    def test_not_yaml(self):
        """Malformed YAML, repeated keys and non-mappings are errors."""
        for text in ("a: [", "[1, 2]", "", "trust: 3", "!!python/none x"):
            self.assertTrue(self._errors(text))
        with self.assertRaisesRegex(exceptions.SettingsError, ":2: .*twice"):
            self._load("slots: 1\nslots: 2\n")

    def test_no_file(self):
        """A missing file is an error of the same type."""
        with self.assertRaises(exceptions.SettingsError):
            loader.load(self.file.parent / "none.yaml")


class TestReference(unittest.TestCase):
    def test_schema_matches_the_types(self):
        """The schema has each field once, with the same default."""
        paths = [spec.path for spec in schema.FIELDS]
        plain = set(node_settings.NodeSettings._fields) - {"trust"}
        trust = {f"trust.{f}" for f in trust_settings.TrustSettings._fields}
        self.assertEqual(sorted(paths), sorted(plain | trust))
        defaults = dict(node_settings.NodeSettings._field_defaults)
        for (
            field,
            value,
        ) in trust_settings.TrustSettings._field_defaults.items():
            defaults[f"trust.{field}"] = value
        for spec in schema.FIELDS:
            self.assertEqual(spec.default, defaults.get(spec.path), spec.path)

    def test_render(self):
        """The reference has one row for each setting."""
        lines = reference.render().splitlines()
        self.assertEqual(len(lines), len(schema.FIELDS) + 2)
        self.assertIn("| `slots` | a whole number from 1 to 10000", lines[14])
