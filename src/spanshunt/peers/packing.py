"""Compression of large, repetitive data that boxes send over slow links."""

import zlib

from result import Err
from result import Ok
from result import Result

COMPRESSION_LEVEL = 1
"""The zlib level: the fastest one, which packs a catalog of 400 KB in about 5 ms."""

MAX_UNPACKED_BYTES = 64 * 1024 * 1024
"""Maximum size of unpacked data, in bytes; larger data are an error."""


def pack(raw: bytes) -> bytes:
    """Return `raw` in compressed form."""
    return zlib.compress(raw, COMPRESSION_LEVEL)


def unpack(packed: bytes) -> Result[bytes, str]:
    """Return the decompressed data, or a description of the error."""
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as exc:
        return Err(f"packed bytes: {exc}")
    if not decompressor.eof:
        return Err(
            f"packed bytes: cut short, or over {MAX_UNPACKED_BYTES} bytes unpacked"
        )
    return Ok(raw)
