"""Checks the callers' page against the code."""

import pathlib
import re
import unittest

from galenatack import exceptions
from galenatack.postings import posting_guard

ROOT = pathlib.Path(__file__).parent.parent.parent
PAGE = ROOT / "docs" / "callers.md"
POSTINGS = ROOT / "src" / "galenatack" / "postings"
RESULT_CODE = re.compile(
    r'posting_results\.(?:not_run|unknown)\(\s*"([a-z-]+)"'
)


class TestCallersPage(unittest.TestCase):
    def test_all_codes(self):
        """The page lists every result code of postings."""
        page = PAGE.read_text(encoding="utf-8")
        codes = {
            code
            for file in POSTINGS.glob("*.py")
            for code in RESULT_CODE.findall(file.read_text(encoding="utf-8"))
        }
        self.assertGreater(len(codes), 5)
        errors = (
            *posting_guard.START_DENIED_ERRORS,
            *exceptions.PostingError.__subclasses__(),
            exceptions.PeerUnreachableError,
            exceptions.PeerTimeoutError,
            exceptions.PeerBusyError,
            exceptions.TargetAnswerLostError,
            exceptions.DeadlineExceededError,
        )
        codes |= {error.code for error in errors}
        table = page.split("## Codes of postings")[1].split("## Keys")[0]
        for code in sorted(codes):
            self.assertIn(f"`{code}`", table)
