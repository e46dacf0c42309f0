"""Tests of parsing and checking profiles."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from galenatack import exceptions
from galenatack.config import profile_codec
from tests.fakes import sample_profile

ROUTE = {"name": "r2", "pool": "main", "retry_policy": "reads"}
CASES = {
    "$.surprise": lambda f: f.update(surprise=1),
    "$.name": lambda f: f.update(name="No Name"),
    "$.service": lambda f: f.pop("service"),
    "$.versions[1]": lambda f: f.update(versions=["v1", "v1"]),
    "$.versions": lambda f: f.update(versions=["v1", "current"]),
    "$.pools": lambda f: f.update(pools="main"),
    "$.pools[0].version": lambda f: f["pools"][0].update(version="x"),
    "$.pools[1].name": lambda f: f["pools"].append(f["pools"][0]),
    "$.retry_policies[0].max_attempts": lambda f: f["retry_policies"][0].update(
        max_attempts=True
    ),
    "$.routes[0].pool": lambda f: f["routes"][0].update(pool="x"),
    "$.routes[0].retry_policy": lambda f: f["routes"][0].update(
        retry_policy="x"
    ),
    "$.routes[0].posting": lambda f: f["routes"][0].update(posting=True),
    "$.routes[0].prefix": lambda f: f["routes"][0].update(prefix="/a/../b"),
    "$.routes[0].timeout_ms": lambda f: f["routes"][0].update(timeout_ms=0),
    "$.routes[0].methods[0]": lambda f: f["routes"][0].update(
        methods=[["GET"]]
    ),
    "$.routes[2].prefix": lambda f: f["routes"].append(
        {**ROUTE, "prefix": "/offers/", "methods": ["GET", "POST"]}
    ),
    "$.limits.queue_entries": lambda f: f.update(limits={"queue_entries": -1}),
    "$.limits.typo": lambda f: f.update(limits={"typo": 1}),
    "$.limits": lambda f: f.update(limits=None),
    "$.move_policy.on_low_traffic": lambda f: f.update(
        move_policy={"on_low_traffic": "maybe"}
    ),
}


def errors_of(fields: object) -> list[str]:
    """Returns the error lines for a JSON value or body."""
    body = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
    try:
        profile_codec.parse(body)
    except exceptions.ProfileInvalidError as error:
        return str(error).splitlines()
    return []


class TestParse(unittest.TestCase):
    def assert_error(self, change, path: str):
        """Checks that a changed profile has one error, at a path."""
        fields = sample_profile.fields()
        change(fields)
        lines = errors_of(fields)
        self.assertEqual([line.split(": ")[0] for line in lines], [path])

    def test_round_trip(self):
        """Dumping and parsing gives the same profile and the same bytes."""
        value = profile_codec.parse(sample_profile.body())
        body = profile_codec.dump(value)
        self.assertEqual(profile_codec.parse(body), value)
        self.assertEqual(profile_codec.dump(profile_codec.parse(body)), body)

    def test_each_field_is_checked(self):
        """The error of an invalid field has its path."""
        for path, change in CASES.items():
            self.assert_error(change, path)

    def test_all_errors_at_once(self):
        """One pass finds the errors of several fields."""
        lines = errors_of({"name": 1, "routes": [{}]})
        self.assertGreater(len(lines), 8)

    def test_hostile_input(self):
        """Malformed, huge and deeply nested JSON is refused."""
        deep = b"[" * 100_000 + b"]" * 100_000
        for body in (
            b"\xff",
            b"",
            b"null",
            deep,
            b'{"a":' * 20 + b"1" + b"}" * 20,
            b'{"name":"a","name":"b"}',
            b'{"name":NaN}',
            b'{"name":' + b"9" * 5000 + b"}",
            b'"' + b"x" * 200_000 + b'"',
        ):
            self.assertEqual(len(errors_of(body)) > 0, True, body[:20])

    @hypothesis.given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats()
            | strategies.text(max_size=5),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from(
                        ["name", "routes", "pools", "limits", "methods"]
                    ),
                    inner,
                    max_size=4,
                )
            ),
            max_leaves=12,
        )
    )
    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=150
    )
    def test_any_json_gives_a_typed_error(self, value):
        """`ProfileInvalidError` is the only exception for any input."""
        fields = sample_profile.fields()
        if isinstance(value, dict):
            fields.update(value)
        else:
            fields["routes"][0]["methods"] = value
        errors_of(fields)
        errors_of(value)


class TestYaml(unittest.TestCase):
    def test_yaml_is_read(self):
        """A YAML profile converts to the JSON that the check accepts."""
        text = json.dumps(sample_profile.fields(), indent=1)
        body = profile_codec.json_from_yaml(text)
        self.assertEqual(errors_of(body), [])

    def test_bad_yaml_gives_a_typed_error(self):
        """Aliases, syntax errors, dates and non-string keys are refused."""
        for text in ("a: &x [1]\nb: *x", "a: [", "a: 2020-01-01", "{1: {}}"):
            with self.assertRaises(exceptions.ProfileInvalidError):
                profile_codec.parse(profile_codec.json_from_yaml(text))
