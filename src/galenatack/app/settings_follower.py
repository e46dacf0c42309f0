"""Applies changes of the settings file while the node runs."""

import collections.abc
import logging
import pathlib

import anyio

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.settings import mesh_settings

LOOK_S = 2.0
"""How often the file is looked at; a signal makes it sooner."""

APPLIED = frozenset({"bounds"})
"""Settings that apply at once; the others need a restart."""

_LOGGER = logging.getLogger(__name__)

Load = collections.abc.Callable[[pathlib.Path], mesh_settings.MeshSettings]
Apply = collections.abc.Callable[[mesh_settings.MeshSettings], None]


class SettingsFollower:
    """Reads a changed file whole, or keeps what is in force.

    Args:
        file: The settings file.
        settings: Settings in force.
        load: Reads and checks a file.
        apply: Puts the settings in force that can be changed.
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
        self._stamp = self._fingerprint()
        self._asked = anyio.Event()

    def request(self) -> None:
        """Asks for a look at the file now."""
        self._asked.set()

    async def run(self) -> None:
        """Follows the file until cancelled."""
        while True:
            with anyio.move_on_after(LOOK_S):
                await self._asked.wait()
            is_asked = self._asked.is_set()
            self._asked = anyio.Event()
            stamp = self._fingerprint()
            if is_asked or stamp != self._stamp:
                self._stamp = stamp
                self.reload()

    def reload(self) -> None:
        """Reads the file; one that is not valid changes nothing."""
        try:
            told = self._load(self._file)
        except exceptions.SettingsError as error:
            _LOGGER.warning("event=reload-refused detail=%r", str(error))
            return
        changed = {
            name
            for name in told._fields
            if getattr(told, name) != getattr(self._settings, name)
        }
        applied = sorted(changed & APPLIED)
        waiting = sorted(changed - APPLIED)
        self._settings = self._settings._replace(
            **{name: getattr(told, name) for name in applied}
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
