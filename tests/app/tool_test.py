"""Base of the tests that run the command-line tool."""

import pathlib
import tempfile
import unittest
import unittest.mock

import click.testing

from galenatack.app import cli
from galenatack.app import profile_file
from galenatack.app import tool
from tests.app import fake_admin
from tests.fakes import manual_clock


class ToolClock(manual_clock.ManualClock):
    """A clock whose sleeps return at once."""

    def wall_ms(self) -> int:
        """Returns the elapsed time in milliseconds."""
        return int(self.now_s * 1000)

    def sleep_s(self, duration_s: float) -> None:
        """Advances the clock."""
        self.advance(duration_s)


class ToolTest(unittest.TestCase):
    """Base class that runs the tool; its profile check accepts everything."""

    def setUp(self):
        """Starts an admin API and a folder with a profile file."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.file = self.folder / "jobs.yaml"
        self.file.write_text("name: jobs\nservice: jobs\n")
        self.admin = fake_admin.FakeAdmin()
        self.clock = ToolClock()
        patch = unittest.mock.patch.object(profile_file, "check")
        self.check = patch.start()
        self.addCleanup(patch.stop)

    def status(self, *members: dict) -> tuple[int, dict]:
        """Returns an answer of the status path."""
        answer = {
            "node_id": "n1",
            "held_seq": 9,
            "running_seq": 9,
            "members": list(members),
            "platform": "ok",
            "moves": [],
        }
        return 200, answer

    def run_tool(self, *args: object, token: str = fake_admin.TOKEN):
        """Runs the tool and returns click's result."""
        words = ["--node", "n1:1", "--node", "n2:1", "--token", token]
        return click.testing.CliRunner().invoke(
            cli.cli,
            [*words, *map(str, args)],
            obj=tool.Environment(self.admin.transport(), self.clock),
        )

    def expect(self, status: int, *args: object, **options: str) -> str:
        """Runs the tool, checks the exit status and returns the output."""
        result = self.run_tool(*args, **options)
        self.assertEqual(result.exit_code, status, result.output)
        if status in (3, 4, 5):
            self.assertIn("next: ", result.output)
        return result.output
