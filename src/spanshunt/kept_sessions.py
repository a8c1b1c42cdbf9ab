"""Client sessions whose kept connections are given up together.

Open connections may go silent for good while new ones work. A call that got no answer
says that any other connection of its time may be dead, too; each of those that lie idle
would cost a time-out of its own.
"""

import contextlib
import typing as t

import aiohttp

from .http_connections import check_heads

IDLE_S = 30
"""How long an idle connection is kept, in s."""

CALL_LOST = (aiohttp.ClientError, TimeoutError, OSError)
"""What a call ends with that got no answer."""


class _Lent:
    """A session, and how many calls use it."""

    def __init__(self, *, keep: bool) -> None:
        if keep:
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_S)
        else:
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self.http = aiohttp.ClientSession(connector=check_heads(connector))
        # The library sends again by itself when a kept connection breaks.
        self.http._retry_connection = False
        self.calls = 0


class KeptSessions:
    """Lends a session; a call that is lost makes the next ones begin with a new one.

    Parameters
    ----------
    keep : bool
        Whether its connections are kept for further calls; else each has its own.
    """

    def __init__(self, *, keep: bool = True) -> None:
        self._keep = keep
        self._current: _Lent | None = None

    def start(self) -> None:
        """Open the first session."""
        self._current = _Lent(keep=self._keep)

    async def stop(self) -> None:
        """Close the session; those before it are closed with their last calls."""
        if self._current is not None:
            await self._current.http.close()

    @contextlib.asynccontextmanager
    async def lend(self) -> t.AsyncIterator[aiohttp.ClientSession]:
        """Lend the session for one call; calls under way keep theirs."""
        if self._current is None:
            raise RuntimeError("KeptSessions.start() was not called")
        lent = self._current
        lent.calls += 1
        try:
            yield lent.http
        except CALL_LOST:
            if lent is self._current:
                self._current = _Lent(keep=self._keep)
            raise
        finally:
            lent.calls -= 1
            if lent is not self._current and not lent.calls:
                await lent.http.close()
