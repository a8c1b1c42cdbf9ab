"""Cache of preferences: which versions should answer a request class.

A preference says, for the requests of one organisation and class, which version most of
them run on and which cheaper one is tried. It is computed from the evidence. The cache
itself works for values of any kind.
"""

import typing as t

import msgspec

from ..ids import Millis

LIFETIME_MS = 1_000
"""Lifetime of a cached preference, in ms."""

MAX_ROWS = 20_000
"""Maximum number of rows; the cache is cleared when it is full."""

K = t.TypeVar("K")
V = t.TypeVar("V")


class CachedValue(msgspec.Struct, t.Generic[V]):
    """A cached value and when it was computed, in ms."""

    value: V
    at: Millis


class PreferenceCache(t.Generic[K, V]):
    """A cache of values by key; each value lives for :data:`LIFETIME_MS`."""

    def __init__(self) -> None:
        self._rows: dict[K, CachedValue[V]] = {}

    def get(self, key: K, now: Millis, compute: t.Callable[[], V]) -> V:
        """Return the value of `key`, computing it if it is missing or expired."""
        row = self._rows.get(key)
        if row is not None and now - row.at < LIFETIME_MS:
            return row.value
        value = compute()
        if len(self._rows) >= MAX_ROWS:
            self._rows.clear()
        self._rows[key] = CachedValue(value, now)
        return value

    def clear(self) -> None:
        """Remove all values."""
        self._rows.clear()
