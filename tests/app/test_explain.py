"""Tests of `galenatack explain` on the logs of several nodes."""

import json
import pathlib
import tempfile
import unittest

from click import testing

from galenatack.app import cli

MOMENT = "2026-12-04T05:00:0%d.000 node=%s level=INFO event=%s request=%s %s"

LINES = (
    (1, "a", "placed", "r1", "call=c-1 node=b target=i-b slots=12"),
    (
        2,
        "b",
        "gate-refused",
        "r1",
        'call=c-1 failure=overloaded detail="wait of 300 ms" queued=40',
    ),
    (
        3,
        "a",
        "answered",
        "r1",
        "outcome=not-run status=503 failure=overloaded retry_after_ms=90",
    ),
    (1, "a", "answered", "r2", "outcome=answer status=500 failure=-"),
    (
        1,
        "b",
        "target-ended",
        "r2",
        "call=c-2 target=i-b outcome=answer status=500 failure=- ran_ms=90.0",
    ),
    (
        1,
        "c",
        "gate-refused",
        "r2.n1",
        'call=c-3 failure=leaving detail="target i-c is leaving"',
    ),
    (1, "b", "answered", "r2.n1", "outcome=not-run status=503 failure=leaving"),
    (
        1,
        "a",
        "answered",
        "r4",
        'outcome=not-run status=503 failure=overloaded detail="wait of 166 ms'
        ' exceeds 150 ms" tried=b:overloaded,c:overloaded retry_after_ms=90',
    ),
    (
        2,
        "b",
        "target-ended",
        "r3",
        "call=c-9 target=i-b outcome=unknown status=504"
        " failure=deadline-exceeded ran_ms=801.0",
    ),
)


def run(*arguments):
    """Runs the tool on the lines of three nodes."""
    with tempfile.TemporaryDirectory() as folder:
        files = []
        for node in "abc":
            path = pathlib.Path(folder) / f"{node}.log"
            lines = [MOMENT % line for line in LINES if line[1] == node]
            path.write_text("\n".join(["not a log line", *lines]) + "\n")
            files.append(str(path))
        return testing.CliRunner().invoke(
            cli.cli, [*arguments, *files], catch_exceptions=False
        )


class TestExplain(unittest.TestCase):
    def test_a_refusal_names_the_gate_and_its_load(self):
        """The gate's line decides, not that of the caller's node."""
        report = json.loads(run("--output", "json", "explain", "r1").stdout)
        self.assertIn("refused because of load", report["outcome"])
        self.assertEqual(report["deciding"]["queued"], "40")
        events = [line["event"] for line in report["lines"]]
        self.assertEqual(events, ["placed", "gate-refused", "answered"])
        self.assertEqual(report["missing"], [])

    def test_the_callers_node_alone_explains_a_refusal(self):
        """Its line has the gate's reason and the attempts."""
        report = json.loads(run("--output", "json", "explain", "r4").stdout)
        self.assertIn("wait of 166 ms exceeds 150 ms", report["outcome"])
        self.assertEqual(
            report["deciding"]["tried"], "b:overloaded,c:overloaded"
        )
        self.assertEqual(report["missing"], [])

    def test_a_failed_parent_names_its_nested_call(self):
        """A target fails after its own nested call was refused."""
        report = json.loads(run("--output", "json", "explain", "r2").stdout)
        self.assertIn("nested call r2.n1 failed", report["outcome"])
        self.assertIn("leaving", report["nested"][0]["outcome"])

    def test_missing_lines_are_named(self):
        """Lines of a log that was not given are reported as missing."""
        text = run("explain", "r3").stdout
        self.assertIn("may have run", text)
        self.assertIn("missing: the line of the node that the caller", text)

    def test_an_unknown_request_is_reported(self):
        """Without lines, no outcome is claimed."""
        self.assertIn("nothing in these logs", run("explain", "r9").stdout)
