"""Runs all tests and prints how many passed and failed."""

import sys

import nose2

from tests import outcome_counter


def main() -> int:
    """Runs nose2 over `tests/` and returns the exit status."""
    argv = ["nose2", "-s", "tests", "-t", ".", *sys.argv[1:]]
    nose2.discover(argv=argv, exit=False, plugins=["tests.outcome_counter"])
    for test_id in outcome_counter.known_red:
        print(f"known red: {test_id}")
    passed = len(outcome_counter.passed)
    failed = len(outcome_counter.failed)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
