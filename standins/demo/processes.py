"""Child processes, each with a log file."""

import pathlib
import signal
import subprocess
import sys

STOP_TIMEOUT_S = 15.0


class Processes:
    """Starts processes and stops those that it started.

    Args:
        folder: Folder for the log files.
    """

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        self._running: dict[str, subprocess.Popen] = {}

    def start(self, name: str, module: str, *args: str) -> None:
        """Starts `python -m module args` under a name."""
        log = (self._folder / f"{name}.log").open("ab")
        self._running[name] = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def send(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self._running[name].send_signal(number)

    def wait(self, name: str, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for a process to end and returns its exit status."""
        return self._running.pop(name).wait(timeout_s)

    def poll(self, name: str) -> int | None:
        """Returns the exit status of a process, or None while it runs."""
        return self._running[name].poll()

    def pid(self, name: str) -> int:
        """Returns the process id."""
        return self._running[name].pid

    def stop_all(self) -> None:
        """Kills all processes that are still running."""
        for process in self._running.values():
            process.kill()
        for process in self._running.values():
            process.wait()
        self._running.clear()
