"""The server of callers' connections, and whether it can carry one more.

That is decided in ``systems.shedding``.
"""

import typing as t

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ..clock import Clock
from ..ids import Millis
from ..logs import log_event
from ..settling import Counter
from ..systems.shedding import UNREAD_MS
from ..systems.shedding import LimitChange
from ..systems.shedding import closed_to_log
from ..systems.shedding import limits_connections
from ..systems.shedding import look_at_timer
from ..systems.shedding import may_take_connection
from ..systems.shedding import reset
from ..tables.fleet import Fleet


class CallerServer(web.Server):
    """Takes callers' connections while the box can carry them.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    clock : Clock
        The source of time.
    count : callable
        Increments a counter.
    handler : callable
        Handles a request.
    **kwargs
        For the library's server.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        count: Counter,
        handler: t.Any,
        **kwargs: t.Any,
    ) -> None:
        super().__init__(handler, **kwargs)
        self._fleet = fleet
        self._clock = clock
        self._count = count
        self._unread: dict[RequestHandler, Millis] = {}

    def __call__(self) -> RequestHandler:
        """Return the protocol of a connection that was taken."""
        handler = super().__call__()
        self._unread[handler] = self._clock.now()
        return handler

    def may_take(self) -> bool:
        """Return whether the box can carry one more connection."""
        overload, now = self._fleet.overload, self._clock.now()
        if may_take_connection(overload, self.open_requests(), now):
            return True
        self._count("connections_closed_unread")
        return False

    def connection_lost(
        self, handler: RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Forget a connection that has ended."""
        self._unread.pop(handler, None)
        super().connection_lost(handler, exc)

    def record_read(self, handler: RequestHandler) -> None:
        """Record that the first request of a connection was read."""
        self._unread.pop(handler, None)

    def open_requests(self) -> int:
        """Return how many requests are held, or awaited on new connections."""
        return len(self._fleet.byte_account.held) + len(self._unread)

    def look(self, late_s: float) -> None:
        """Take in how late a timer was, in s, and log what follows from it."""
        overload, now = self._fleet.overload, self._clock.now()
        self._expire_unread(now)
        if not limits_connections(self._fleet.limits):
            reset(overload)
            return
        open_requests = self.open_requests()
        before = overload.limit
        change = look_at_timer(overload, 1_000 * late_s, open_requests, now)
        if change is not None:
            self._log_change(change, before, open_requests)
        closed = closed_to_log(overload, now)
        if closed:
            log_event(
                "WARNING",
                "connections closed unread",
                closed=closed,
                limit=overload.limit,
                open=open_requests,
                late_ms=round(overload.late_ms),
            )

    def _expire_unread(self, now: Millis) -> None:
        """Count connections without a request no longer than they are awaited."""
        for handler, since in list(self._unread.items()):
            if now - since < UNREAD_MS:
                break
            del self._unread[handler]

    def _log_change(
        self, change: LimitChange, before: int | None, open_requests: int
    ) -> None:
        overload = self._fleet.overload
        self._count(f"connection_limits.{change.value}")
        log_event(
            "INFO" if change is LimitChange.GREW else "WARNING",
            "limit on open requests",
            change=change.value,
            limit=overload.limit,
            before=before,
            open=open_requests,
            late_ms=round(overload.late_ms),
        )
