"""Types of numbers from outside, each bounded by what it means.

A number is bounded where it is read, so that what works on it, and what tells it to
others, meets none that it has no use for: sums, products and encodings of these fit.
"""

import typing as t

import msgspec

YEAR_MS = 31_536_000_000
"""A year in ms."""

MOST_SLOTS = 1_000_000
"""Most requests that a worker may run at once."""

Position = t.Annotated[int, msgspec.Meta(ge=-1, le=2**62)]
"""A position in the store's streams, with the number of restores; -1 for none."""

Revision = t.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""A version of the configuration, or a store's offset."""

WallMs = t.Annotated[int, msgspec.Meta(ge=0, le=253_402_300_799_999)]
"""A time of day, in ms since the Unix epoch, up to the year 9999."""

Slots = t.Annotated[int, msgspec.Meta(ge=1, le=MOST_SLOTS)]
"""Requests that a worker runs at once."""

Whole = t.Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]
"""Any other whole number: a count, a size, an age or a span in ms."""

SpanMs = t.Annotated[int, msgspec.Meta(ge=-YEAR_MS, le=YEAR_MS)]
"""An order's age or length in ms; a little below 0 where clocks differ."""

Epoch = t.Annotated[int, msgspec.Meta(ge=0, le=YEAR_MS // 1_000)]
"""Number of an epoch of an order, which is a second long."""

Amount = t.Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]
"""A price, a rate or a weight."""
