"""Bytes of a stand-in of a worker that are no answer and come without end."""

import asyncio

from .worker_faults import WorkerFault

ENDLESS_BLOCK, ENDLESS_MOST = 4_096, 256 * 1_048_576
"""Bytes that an answer without end writes at a time, and at the most."""


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body without a length."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def write_without_end(
    writer: asyncio.StreamWriter, head: bytes, fault: WorkerFault, sizes: list[int]
) -> None:
    """Write bytes until the other side closes, or to a bound.

    `head` is that of a proper answer; how many bytes followed it is added to `sizes`.
    """
    block = b"x" * ENDLESS_BLOCK
    if fault is WorkerFault.ENDLESS_HEAD:
        head, block = head[:-2], b"X-More: x\r\n" * (ENDLESS_BLOCK // 11)
    elif fault is WorkerFault.ENDLESS_LINE:
        head = head[:-2] + b"X-Long: "
    elif fault is WorkerFault.ENDLESS_CHUNKS:
        block = chunk(block)
    written = 0
    try:
        writer.write(head)
        while written < ENDLESS_MOST:
            writer.write(block)
            await writer.drain()
            written += len(block)
            await asyncio.sleep(0)
    finally:
        sizes.append(written)
