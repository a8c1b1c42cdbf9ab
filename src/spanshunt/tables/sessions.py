"""Version pins of sessions whose callers send only a session id (soft state).

Other callers send the signed session token that an earlier answer gave them, which
contains the pins of the session.
"""

import msgspec

from ..ids import Millis
from ..ids import VersionId

PIN_LIFETIME_MS = 4 * 3_600_000
"""How long a pin is kept after its last use, in ms: a session of four hours."""

MAX_PINS = 50_000
"""Maximum number of pins; the least recently used one is evicted."""


class PinRow(msgspec.Struct):
    """The version of a session, and when the pin was last used, in ms."""

    version: VersionId
    used_at: Millis


class Pins(msgspec.Struct):
    """Pins by key, least recently used first."""

    rows: dict[str, PinRow] = {}

    def get(self, key: str, now: Millis) -> VersionId | None:
        """Return the version of a session and mark the pin as used."""
        row = self.rows.pop(key, None)
        if row is None or now - row.used_at > PIN_LIFETIME_MS:
            return None
        row.used_at = now
        self.rows[key] = row
        return row.version

    def put(self, key: str, version: VersionId, now: Millis) -> None:
        """Store the version of a session and evict the oldest pins."""
        self.rows.pop(key, None)
        self.rows[key] = PinRow(version, now)
        while len(self.rows) > MAX_PINS:
            del self.rows[next(iter(self.rows))]
