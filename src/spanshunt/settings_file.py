"""The settings file of a running box: read when it changes, taken whole or not."""

import asyncio
import os
import typing as t

from .clock import Clock
from .exceptions import SettingsError
from .ids import Millis
from .logs import log_event
from .tables.settings_state import SettingsRow

LOOK_MS = 1_000
"""How often a box looks whether the file changed without a signal, in ms."""

GATHER_MS = 100
"""Signals that come within this time are answered by one reading, in ms."""

SAID_AGAIN_MS = 60_000
"""How often it is said again that a file is refused, in ms."""

SettingsT = t.TypeVar("SettingsT")


class Applied(t.NamedTuple):
    """What became of a file that was taken.

    Attributes
    ----------
    digest : str
        Names what is in force now.
    changed : tuple of str
        Fields that changed.
    waiting : tuple of str
        Fields of the file that take effect at the next start only.
    """

    digest: str
    changed: tuple[str, ...] = ()
    waiting: tuple[str, ...] = ()


class _Stamp(t.NamedTuple):
    """What tells two states of a file apart without reading it."""

    modified_ns: int
    size: int
    inode: int


class SettingsFile(t.Generic[SettingsT]):
    """Follows the settings file.

    A file that can't be taken changes nothing: the settings before it stay in force,
    whole, and it is read again until it can be.

    Parameters
    ----------
    path : str
        The file.
    clock : Clock
        The source of time.
    row : SettingsRow
        What the box tells of its settings.
    load : callable
        Reads and checks the file; raises ``SettingsError``.
    apply : callable
        Puts settings in force, in one step.
    count : callable
        Adds one to the counter of that name.
    """

    def __init__(
        self,
        path: str,
        clock: Clock,
        row: SettingsRow,
        load: t.Callable[[str], SettingsT],
        apply: t.Callable[[SettingsT], Applied],
        count: t.Callable[[str], None],
    ) -> None:
        self._path = path
        self._clock = clock
        self._row = row
        self._load = load
        self._apply = apply
        self._count = count
        self._stamp: _Stamp | None = None
        self._said_at = Millis(-1)
        self._gathering = False

    def ask(self) -> None:
        """Read the file again soon, whether it changed or not."""
        if not self._gathering:
            self._gathering = True
            loop = asyncio.get_running_loop()
            loop.call_later(GATHER_MS / 1_000, self._read_gathered)

    async def look(self) -> None:
        """Read the file if it changed, or if it is refused; every `LOOK_MS`."""
        if self._row.refused or _stamp_of(self._path) != self._stamp:
            self._read(asked=False)

    def _read_gathered(self) -> None:
        self._gathering = False
        self._read(asked=True)

    def _read(self, *, asked: bool) -> None:
        # Taken before the reading, so that a change during it is seen afterwards.
        self._stamp = _stamp_of(self._path)
        try:
            found = self._load(self._path)
        except SettingsError as exc:
            self._refuse(exc)
            return
        applied = self._apply(found)
        before, self._row.digest = self._row.digest, applied.digest
        told = bool(applied.changed) or applied.waiting != self._row.waiting
        if applied.changed or self._row.since < 0:
            self._row.since = self._clock.now()
        self._row.waiting = applied.waiting
        told |= bool(self._row.refused)
        self._row.refused, self._row.refused_since = "", Millis(-1)
        if told:
            self._count("settings_applied")
        if told or asked:
            log_event(
                "INFO",
                "settings applied" if told else "settings unchanged",
                digest=applied.digest,
                before=before,
                changed=applied.changed,
                waiting=applied.waiting,
            )

    def _refuse(self, exc: SettingsError) -> None:
        """Keep what is in force; say why, and again now and then."""
        now, row = self._clock.now(), self._row
        problem = str(exc)
        if problem == row.refused and now < self._said_at + SAID_AGAIN_MS:
            return
        if problem != row.refused:
            self._count("settings_refused")
        if not row.refused:
            row.refused_since = now
        row.refused = problem
        self._said_at = now
        log_event(
            "ERROR",
            "settings refused",
            detail=problem,
            refused_ms=now - row.refused_since,
            digest=row.digest,
            in_force_ms=now - row.since,
        )


def _stamp_of(path: str) -> _Stamp | None:
    """Return what tells a file's state; None if it can't be looked at."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return _Stamp(found.st_mtime_ns, found.st_size, found.st_ino)
