"""Fuzz tests of settings and profile files."""

import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies
import yaml

from galenatack import exceptions
from galenatack.app import profile_file
from galenatack.config import profile_codec
from galenatack.settings import loader
from galenatack.settings import schema
from tests.fakes import sample_profile

SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=60
)
VALID = {
    "deployment": "d",
    "node_id": "n",
    "data_centre": "a",
    "region": "r",
    "service": "prices",
    "version": "v1",
    "call_address": "127.0.0.1:7001",
    "peer_address": "127.0.0.1:7002",
    "admin_address": "127.0.0.1:7003",
    "target_url": "http://127.0.0.1:7004",
    "platform_url": "http://127.0.0.1:7005",
    "seeds": [],
    "slots": 12,
    "trust": {"mode": "none", "ticket_key": "k" * 16},
}
HOSTILE = (
    "a: 2020-13-45",
    "a: !!int x",
    "a: !!float x",
    "? [a]\n: b",
    "? {a: b}\n: c",
    "&a [*a]",
    "&a {trust: *a}",
    "[" * 1200,
    "a: " + "9" * 5000,
    "a: 1:2:3_0.",
    "!!python/object:os.system x",
    "!!set {a, b}",
    "!!binary \x7f",
    "\ud800",
    "\0",
    "a: 0o9\nb: 0b2\nc: 0x_",
    "<<: 3",
    "<<: [1]",
    "=: a",
)

_keys = strategies.sampled_from(
    [spec.path.partition(".")[0] for spec in schema.FIELDS]
    + ["name", "routes", "pools", "limits", "versions", "move_policy"]
)
_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.binary(max_size=3)
    | strategies.dates()
    | strategies.text(max_size=6)
    | strategies.sampled_from(["[::1]:1", "http://[", "http://a:b", "::1:0"]),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(_keys | strategies.integers(), inner)
    ),
    max_leaves=8,
)
_texts = strategies.text(max_size=30) | strategies.text(
    "ab:-[]{}&*!?|>'\"# \n09.", max_size=30
)


class TestLoaderFuzz(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name) / "node.yaml"

    def _load(self, text):
        self.file.write_bytes(text.encode("utf-8", "surrogatepass"))
        try:
            settings = loader.load(self.file)
        except exceptions.SettingsError as error:
            self.assertIn(str(self.file), str(error))
        else:
            self.assertEqual(set(settings.trust._fields) & {"mode"}, {"mode"})
        try:
            document = profile_file.read(str(self.file))
        except (exceptions.ProfileInvalidError, exceptions.UsageError):
            return
        self.assertTrue(document["name"])

    def test_hostile_texts(self):
        """Texts that crash YAML parsers give typed errors."""
        for text in HOSTILE:
            with self.subTest(text[:30]):
                self._load(text)

    @SETTINGS
    @hypothesis.given(_texts)
    def test_any_text(self, text):
        """Any text is valid or gives a typed error."""
        self._load(text)

    @SETTINGS
    @hypothesis.given(strategies.dictionaries(_keys, _values, max_size=3))
    def test_any_values(self, changes):
        """Invalid values in a valid document give typed errors."""
        self._load(yaml.safe_dump({**VALID, **changes}, allow_unicode=False))

    @SETTINGS
    @hypothesis.given(strategies.dictionaries(_keys, _values, max_size=3))
    def test_profile(self, changes):
        """A profile that passes the check survives a round trip."""
        text = yaml.safe_dump({**sample_profile.fields(), **changes})
        try:
            value = profile_codec.parse(profile_codec.json_from_yaml(text))
        except exceptions.ProfileInvalidError:
            return
        self.assertEqual(profile_codec.parse(profile_codec.dump(value)), value)
