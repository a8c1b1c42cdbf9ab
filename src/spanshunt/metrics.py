"""Metrics by statsd; with no host set, none are sent."""

import statsd

from .settings import Statsd


class Metrics:
    """Counters, gauges and timings under the names of ``docs/metrics.md``.

    Parameters
    ----------
    settings : Statsd
        Where they go.
    """

    def __init__(self, settings: Statsd) -> None:
        self._client = (
            statsd.StatsClient(settings.host, settings.port, prefix=settings.prefix)
            if settings.host
            else None
        )

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, value_ms: float) -> None:
        """Record a duration in ms."""
        if self._client is not None:
            self._client.timing(name, value_ms)
