"""A read that waits for records, until it ends or is given up."""

import asyncio
import typing as t

from result import Result

from ..ids import Offset
from .store import StoreFault
from .store import Tail


class Wait:
    """A read that waits for records.

    Parameters
    ----------
    since : int
        From where on it reads.
    version : int
        The catalog that was known when it began.
    first : bool
        Whether this box was the first of all then, whose waits are short.
    read : coroutine
        The read.

    Attributes
    ----------
    known_end : int or None
        Up to where records are known without it, once it was given up; None where all
        must be read anew.
    """

    def __init__(
        self,
        since: Offset,
        version: int,
        first: bool,
        read: t.Coroutine[t.Any, t.Any, Result[Tail, StoreFault]],
    ) -> None:
        self.since = since
        self.version = version
        self.first = first
        self.known_end: Offset | None = None
        self._read = asyncio.get_running_loop().create_task(read)
        self._given_up = False

    def give_up(self, known_end: Offset | None) -> None:
        """End it before its time."""
        if not self._read.done():
            self._given_up = True
            self.known_end = known_end
            self._read.cancel()

    async def brings(self, within_s: float) -> bool:
        """Tell whether it brings something within a time, in s."""
        await asyncio.wait({self._read}, timeout=within_s)
        return self._read.done()

    async def ended(self) -> Result[Tail, StoreFault] | None:
        """Return what it read; None if it was given up."""
        try:
            await asyncio.wait({self._read})
        finally:
            self._read.cancel()
        return None if self._given_up else self._read.result()
