"""Preferences worked out a moment ago, so that a request need not do it again."""

import typing as t

import msgspec

from ..ids import Millis

LIFETIME_MS = 1_000
"""How long a preference is used before it is worked out again."""

MAX_ROWS = 20_000
"""Rows kept; all are dropped when there are more."""

K = t.TypeVar("K")
V = t.TypeVar("V")


class Remembered(msgspec.Struct, t.Generic[V]):
    """A value, and when it was worked out, in ms."""

    value: V
    at: Millis


class Memory(t.Generic[K, V]):
    """Values by key, each for :data:`LIFETIME_MS`."""

    def __init__(self) -> None:
        self._rows: dict[K, Remembered[V]] = {}

    def get(self, key: K, now: Millis, make: t.Callable[[], V]) -> V:
        """Return the value of `key`, made anew if it is too old."""
        row = self._rows.get(key)
        if row is not None and now - row.at < LIFETIME_MS:
            return row.value
        value = make()
        if len(self._rows) >= MAX_ROWS:
            self._rows.clear()
        self._rows[key] = Remembered(value, now)
        return value

    def clear(self) -> None:
        """Forget all."""
        self._rows.clear()
