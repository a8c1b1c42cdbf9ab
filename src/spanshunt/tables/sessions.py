"""Soft state of sessions whose callers send only an id."""

import msgspec

from ..ids import Millis
from ..ids import VersionId

PIN_LIFETIME_MS = 4 * 3_600_000
"""How long after its last use a pin is kept: a sitting of four hours."""

MAX_PINS = 50_000
"""Pins kept; the one used longest ago goes first."""


class PinRow(msgspec.Struct):
    """A session's version, and when it was last used, in ms."""

    version: VersionId
    used: Millis


class Pins(msgspec.Struct):
    """Pins by key, the one used longest ago first."""

    rows: dict[str, PinRow] = {}

    def get(self, key: str, now: Millis) -> VersionId | None:
        """Return the version of a session and mark it used."""
        row = self.rows.pop(key, None)
        if row is None or now - row.used > PIN_LIFETIME_MS:
            return None
        row.used = now
        self.rows[key] = row
        return row.version

    def put(self, key: str, version: VersionId, now: Millis) -> None:
        """Keep the version of a session."""
        self.rows.pop(key, None)
        self.rows[key] = PinRow(version, now)
        while len(self.rows) > MAX_PINS:
            del self.rows[next(iter(self.rows))]
