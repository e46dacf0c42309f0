"""Tests of the tool's profile commands."""

import json

from galenatack import exceptions
from tests.app import fake_admin
from tests.app import tool_test

STATUS = "GET /status"
PUBLISHED = {"name": "jobs", "version": 4, "seq": 9}


class TestProfile(tool_test.ToolTest):
    def test_check(self):
        """A wrong profile is status 2 with one line for each error."""
        self.expect(0, "profile", "check", self.file)
        error = exceptions.ProfileInvalidError("routes: none\nlimits: none")
        self.check.side_effect = error
        output = self.expect(2, "profile", "check", self.file)
        self.assertIn(f"{self.file}: routes: none\n{self.file}: li", output)
        self.expect(2, "profile", "publish", self.file)
        self.expect(2, "profile", "check", self.folder / "none.yaml")
        self.assertEqual(self.admin.seen, [])

    def test_publish_conflict(self):
        """A conflict is status 3 and names the next step, also as JSON."""
        conflict = {
            "error": "version-conflict",
            "detail": "version 5 is in force",
            "winning_version": 5,
        }
        self.admin.answers["POST /profiles"] = (409, conflict)
        output = self.expect(
            3, "profile", "publish", self.file, "--expect", "3"
        )
        self.assertIn("profile diff", output)
        self.assertEqual(self.admin.seen[0][2]["expect"], 3)
        result = self.run_tool(
            "--output", "json", "profile", "publish", self.file
        )
        report = json.loads(result.stderr)
        self.assertEqual(report["winning_version"], 5)
        self.assertEqual(report["error"], "version-conflict")

    def test_publish_wait(self):
        """Waiting names the lagging nodes and ends once there are none."""
        self.admin.answers["POST /profiles"] = (200, PUBLISHED)
        dead = fake_admin.member("n3", 1, status="dead")
        behind = fake_admin.member("n2", 8)
        done = fake_admin.member("n2", 9)
        self.admin.answers[STATUS] = [
            self.status(behind, dead),
            self.status(behind, dead),
            self.status(done, dead),
        ]
        output = self.expect(0, "profile", "publish", self.file, "--wait")
        self.assertEqual(output.count("waiting for n2"), 1)
        self.assertIn("version 4, seq 9, in force", output)

    def test_publish_wait_timeout(self):
        """A node that never catches up is status 5 and is named."""
        self.admin.answers["POST /profiles"] = (200, PUBLISHED)
        self.admin.answers[STATUS] = self.status(fake_admin.member("n2", 8))
        output = self.expect(
            5, "profile", "publish", self.file, "--wait", "--timeout", "5s"
        )
        self.assertIn("error: seq 9: waiting for n2", output)
        self.assertAlmostEqual(self.clock.now_s, 5, delta=1)

    def test_publish_wait_rejected(self):
        """A node that rejected the version is not waited for; status 3."""
        self.admin.answers["POST /profiles"] = (200, PUBLISHED)
        rejected = [["jobs", 4, "no pool"]]
        stuck = fake_admin.member("n2", 8, rejections=rejected)
        self.admin.answers[STATUS] = self.status(stuck)
        output = self.expect(3, "profile", "publish", self.file, "--wait")
        self.assertIn("rejected by n2: no pool", output)

    def test_show_and_diff(self):
        """The diff shows what a file would change."""
        answer = {**PUBLISHED, "profile": {"name": "jobs", "service": "x"}}
        self.admin.answers["GET /profiles/jobs"] = (200, answer)
        shown = self.expect(0, "profile", "show", "jobs")
        self.assertEqual(json.loads(shown), answer["profile"])
        output = self.expect(0, "profile", "diff", "jobs", self.file)
        self.assertIn('-  "service": "x"\n+  "service": "jobs"', output)
        self.expect(3, "profile", "show", "other")

    def test_choose(self):
        """Choosing sends profile and version, and waits when asked."""
        answer = {
            "service": "jobs",
            "profile": "jobs",
            "version": "v1",
            "seq": 9,
        }
        self.admin.answers["POST /services/jobs"] = (200, answer)
        self.admin.answers[STATUS] = self.status(fake_admin.member("n2", 9))
        words = ("profile", "choose", "jobs", "jobs", "--version", "v1")
        self.expect(0, *words, "--wait")
        sent = self.admin.seen[0][2]
        self.assertEqual(sent, {"profile": "jobs", "version": "v1"})
