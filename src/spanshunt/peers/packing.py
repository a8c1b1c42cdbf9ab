"""Packing of what is large and repeats itself, for slow links between boxes."""

import zlib

from result import Err
from result import Ok
from result import Result

LEVEL = 1
"""How hard to pack, as zlib counts: the fastest, a catalog of 400 KB in about 5 ms."""

MOST_BYTES = 64 * 1024 * 1024
"""What is longer than this unpacked is not taken, in bytes."""


def pack(raw: bytes) -> bytes:
    """Return `raw` packed."""
    return zlib.compress(raw, LEVEL)


def unpack(packed: bytes) -> Result[bytes, str]:
    """Return what was packed, or why it can't be read."""
    unpacker = zlib.decompressobj()
    try:
        raw = unpacker.decompress(packed, MOST_BYTES)
    except zlib.error as exc:
        return Err(f"packed bytes: {exc}")
    if not unpacker.eof:
        return Err(f"packed bytes: cut short, or over {MOST_BYTES} bytes unpacked")
    return Ok(raw)
