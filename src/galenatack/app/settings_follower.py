"""Reloads the settings file while the node runs."""

import collections.abc
import logging
import pathlib

import anyio

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.settings import mesh_settings

POLL_S = 2.0
"""Interval between checks of the file; a signal triggers one at once."""

RELOADABLE = frozenset({"bounds"})
"""Settings that apply without a restart."""

_LOGGER = logging.getLogger(__name__)

Load = collections.abc.Callable[[pathlib.Path], mesh_settings.MeshSettings]
Apply = collections.abc.Callable[[mesh_settings.MeshSettings], None]


class SettingsFollower:
    """Applies a changed file; an invalid one leaves the settings as they are.

    Args:
        file: The settings file.
        settings: Settings in force.
        load: Reads and validates a file.
        apply: Applies the reloadable settings.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        file: pathlib.Path,
        settings: mesh_settings.MeshSettings,
        load: Load,
        apply: Apply,
        clock: clock_interface.Clock,
    ):
        self._file = file
        self._settings = settings
        self._load = load
        self._apply = apply
        self._clock = clock
        self._last_fingerprint = self._fingerprint()
        self._reload_requested = anyio.Event()

    def request_reload(self) -> None:
        """Makes `run` reload the file now, even if it has not changed."""
        self._reload_requested.set()

    async def run(self) -> None:
        """Polls the file until cancelled."""
        while True:
            with anyio.move_on_after(POLL_S):
                await self._reload_requested.wait()
            is_requested = self._reload_requested.is_set()
            self._reload_requested = anyio.Event()
            fingerprint = self._fingerprint()
            if is_requested or fingerprint != self._last_fingerprint:
                self._last_fingerprint = fingerprint
                self.reload()

    def reload(self) -> None:
        """Reloads the file; an invalid one changes nothing."""
        try:
            loaded = self._load(self._file)
        except exceptions.SettingsError as error:
            _LOGGER.warning("event=reload-refused detail=%r", str(error))
            return
        changed = {
            name
            for name in loaded._fields
            if getattr(loaded, name) != getattr(self._settings, name)
        }
        applied = sorted(changed & RELOADABLE)
        waiting = sorted(changed - RELOADABLE)
        self._settings = self._settings._replace(
            **{name: getattr(loaded, name) for name in applied}
        )
        self._apply(self._settings)
        _LOGGER.info(
            "event=reloaded applied=%s needs_restart=%s",
            ",".join(applied) or "-",
            ",".join(waiting) or "-",
        )

    def _fingerprint(self) -> tuple[int, int] | None:
        try:
            stat = self._file.stat()
        except OSError as error:
            _LOGGER.info("event=settings-unreadable error=%s", error)
            return None
        return (stat.st_mtime_ns, stat.st_ino)
