"""Tests of the tool: connection, moves, status, time line, settings."""

import json
import xml.etree.ElementTree

import httpx

from tests.app import fake_admin
from tests.app import tool_test

STATUS = "GET /status"
PUBLISHED = {"name": "jobs", "version": 4, "seq": 9}


class TestConnection(tool_test.ToolTest):
    def test_next_node(self):
        """A node that is down is skipped, for reads and for changes."""
        self.admin.down = {"n1"}
        self.admin.answers["GET /profiles"] = (200, {"profiles": []})
        self.admin.answers["POST /profiles"] = (200, PUBLISHED)
        self.expect(0, "profile", "list")
        self.expect(0, "profile", "publish", self.file)
        self.assertEqual([host for host, _, _ in self.admin.seen], ["n2"] * 2)

    def test_all_down(self):
        """If no node is reachable, the status is 4 and each node is named."""
        self.admin.down = {"n1", "n2"}
        output = self.expect(4, "status")
        self.assertIn("n1:1: refused; n2:1: refused", output)

    def test_lost_answer(self):
        """A change whose answer is lost is not sent to a second node."""
        self.admin.error = httpx.ReadTimeout("no answer")
        output = self.expect(5, "profile", "publish", self.file)
        self.assertEqual(len(self.admin.seen), 1)
        self.assertIn("may have taken effect", output)

    def test_platform_down(self):
        """A 503 from all nodes is status 4."""
        down = {"error": "platform-unavailable", "detail": "outage"}
        self.admin.answers["POST /profiles"] = (503, down)
        self.expect(4, "profile", "publish", self.file)
        self.assertEqual(len(self.admin.seen), 2)

    def test_token(self):
        """A wrong token is refused and the option is named."""
        self.assertIn("--token", self.expect(3, "status", token="wrong"))

    def test_other_answers(self):
        """Malformed answers and faults of the tool never give status 1."""
        self.admin.answers["GET /profiles"] = (200, {"hello": "world"})
        self.expect(4, "profile", "list")
        self.admin.answers["GET /profiles"] = (200, [1])
        self.expect(4, "profile", "list")
        self.admin.answers["GET /profiles"] = (200, {"profiles": [{}]})
        self.assertIn("KeyError", self.expect(70, "profile", "list"))
        self.admin.error = KeyboardInterrupt()
        self.expect(130, "profile", "list")

    def test_usage(self):
        """Wrong options are status 2; the help lists all statuses."""
        self.expect(2, "move", "start", "jobs", "--to", "v2")
        self.expect(2, "--cert", "x", "status")
        self.expect(2, "--ca", self.folder / "none.pem", "status")
        output = self.expect(0, "--help")
        for status in range(6):
            self.assertIn(f"\n    {status}  ", output)


class TestMove(tool_test.ToolTest):
    def _start(self, status: int, by: str, *options: str) -> str:
        self.admin.answers["POST /moves"] = (200, fake_admin.move())
        words = ("move", "start", "jobs", "--to", "v2", "--by", by)
        return self.expect(status, *words, *options)

    def _answer(self, phase: str) -> tuple[int, dict]:
        is_final = phase != "running"
        state = fake_admin.move(phase, reason="errors" if is_final else "")
        return 200, {"move": state, "final": is_final, "note": ""}

    def test_by(self):
        """Relative and absolute times are accepted, past ones are not."""
        self.clock.advance(1000)
        for by, by_ms in (
            ("+10m", 1_600_000),
            ("+90s", 1_090_000),
            ("1970-01-01T01:00:00Z", 3_600_000),
            ("1970-01-01T03:00:00.5+02:00", 3_600_500),
        ):
            self._start(0, by)
            sent = {"service": "jobs", "to": "v2", "by_ms": by_ms}
            self.assertEqual(self.admin.seen[-1][2], sent)
        for by in (
            "10m",
            "+10",
            "+0s",
            "1970-01-01T00:00:01Z",
            "2070-01-01T00:00:00",
            "2070-01-01",
            "soon",
        ):
            self._start(2, by)

    def test_wait(self):
        """The status reflects the verdict; an outage is waited out."""
        down = (503, {"error": "platform-unavailable", "detail": "outage"})
        for phase, status in (("done", 0), ("taken_back", 1)):
            self.admin.answers["GET /moves/jobs"] = [
                self._answer("running"),
                down,
                down,
                self._answer(phase),
            ]
            output = self._start(status, "+10m", "--wait")
            self.assertIn(f"jobs: {phase}", output)
            self.assertIn("reason: errors\n  error_share: 0.25", output)
            self.assertIn("no node answers", output)

    def test_verdict(self):
        """The status reflects done, taken back or no verdict yet."""
        for phase, status in (("done", 0), ("taken_back", 1), ("running", 5)):
            self.admin.answers["GET /moves/jobs"] = self._answer(phase)
            self.expect(status, "move", "verdict", "jobs")
        self.expect(0, "move", "status", "jobs")
        output = self.expect(5, "move", "verdict", "jobs", "--wait")
        self.assertIn("no verdict yet", output)
        self.assertGreaterEqual(self.clock.now_s, 660)

    def test_cancel(self):
        """A cancel that comes after the verdict is status 3."""
        self.admin.answers["DELETE /moves/jobs"] = self._answer("taken_back")
        self.expect(0, "move", "cancel", "jobs")
        late = {"error": "move-finished", "detail": "done", "verdict": "done"}
        self.admin.answers["DELETE /moves/jobs"] = (409, late)
        self.assertIn("final", self.expect(3, "move", "cancel", "jobs"))


class TestOther(tool_test.ToolTest):
    def test_status(self):
        """The status names lagging nodes and rejections."""
        rejected = [{"profile": "jobs", "version": 4, "reason": "no pool"}]
        self.admin.answers[STATUS] = self.status(
            fake_admin.member("n1", 9),
            fake_admin.member("n2", 7, rejections=rejected),
            fake_admin.member("n3", 1, status="dead"),
        )
        output = self.expect(0, "status")
        self.assertIn("lagging: n2\n", output)
        self.assertIn("rejected by n2: jobs version 4: no pool", output)
        result = self.run_tool("--output", "json", "status")
        self.assertEqual(json.loads(result.stdout)["lagging"], ["n2"])

    def test_silent_node(self):
        """A node that did not answer is named, and --wait waits for it."""
        nodes = (fake_admin.member("n1", 9), fake_admin.member("n2", None))
        self.admin.answers[STATUS] = self.status(*nodes)
        output = self.expect(0, "status")
        self.assertIn("lagging: none\nno answer: n2", output)
        self.admin.answers["POST /profiles"] = (200, PUBLISHED)
        output = self.expect(5, "profile", "publish", self.file, "--wait")
        self.assertIn("waiting for n2 (no answer)", output)

    def test_timeline(self):
        """All live nodes are read to the end, filtered and drawn."""
        nodes = [fake_admin.member(f"n{n}", 9) for n in (1, 2, 3)]
        self.admin.answers[STATUS] = self.status(*nodes)
        self.admin.down = {"n3"}
        output = self.expect(0, "timeline")
        self.assertIn("left out n3", output)
        self.assertEqual(output.count("started"), 4)
        self.assertIn("2027-01-15T08:00:00.000Z n1 node-started", output)
        for words, count in (
            (("--kind", "move-started"), 2),
            (("--node", "n1"), 2),
            (("--service", "jobs", "--node", "n2"), 1),
            (("--service", "none"), 0),
        ):
            output = self.expect(0, "timeline", *words)
            self.assertEqual(output.count("started"), count, words)
        self.assertIn("no events", output)

    def test_drawing(self):
        """The drawing is valid SVG with one circle per chosen event."""
        nodes = [fake_admin.member(f"n{n}", 9) for n in (1, 2)]
        self.admin.answers[STATUS] = self.status(*nodes)
        file = self.folder / "t.svg"
        self.expect(0, "timeline", "--node", "n1", "--svg", file)
        root = xml.etree.ElementTree.parse(file).getroot()
        dots = root.findall("{http://www.w3.org/2000/svg}circle")
        self.assertEqual(len(dots), 2)
        self.expect(2, "timeline", "--svg", self.folder / "no" / "t.svg")

    def test_version(self):
        """The version needs no node, nor an installed package."""
        self.assertIn("galenatack ", self.expect(0, "--version"))

    def test_config_check(self):
        """A settings file with errors is status 2, one line for each."""
        output = self.expect(2, "config", "check", self.file)
        self.assertIn(f"{self.file}: name: unknown key", output)
        self.assertIn(f"{self.file}: slots: missing", output)
