"""Starts a node from a checkout: `python3 deploy/node.py`."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from galenatack.app import mesh_daemon  # noqa: E402

if __name__ == "__main__":
    mesh_daemon.main()
