"""Runs all tests and prints how many passed and failed."""

import sys

import nose2


def main() -> int:
    """Runs nose2 over `tests/` and returns the exit status."""
    program = nose2.main(
        argv=["nose2", "-s", "tests", "-t", "."], exit=False
    )
    result = program.result
    failed = len(result.failures) + len(result.errors)
    failed += len(result.unexpectedSuccesses)
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
