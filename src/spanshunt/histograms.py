"""Histograms for each organisation and class, bounded in memory."""

import enum
import typing as t

import msgspec
from hdrh.histogram import HdrHistogram

from .ids import ClassId
from .ids import OrgId

MAX_SERIES = 512
"""Organisation and class pairs with histograms of their own; the rest share one."""

_LOWEST = 1
_HIGHEST = 3_600_000_000
_DIGITS = 2
_OTHER = OrgId("(others)")


class Measure(enum.Enum):
    """What is measured: times in microseconds, cost in millionths of the currency."""

    TTFT = "ttft_us"
    BETWEEN = "between_tokens_us"
    TOTAL = "total_us"
    COST = "cost_micros"
    WAIT = "wait_us"


class SeriesKey(t.NamedTuple):
    """Whose histogram it is."""

    org: OrgId
    request_class: ClassId
    measure: Measure


class Summary(msgspec.Struct, frozen=True):
    """A histogram in a few numbers, in the unit of its measure."""

    org: OrgId
    request_class: ClassId
    measure: str
    count: int
    p50: int
    p95: int
    p99: int
    max: int


class Histograms:
    """All histograms of this daemon."""

    def __init__(self) -> None:
        self._series: dict[SeriesKey, HdrHistogram] = {}

    def record(
        self, org: OrgId, request_class: ClassId, measure: Measure, value: float
    ) -> None:
        """Record one value; one out of range counts as the bound."""
        key = SeriesKey(org, request_class, measure)
        found = self._series.get(key)
        if found is None:
            found = self._open(key)
        found.record_value(int(min(max(value, _LOWEST), _HIGHEST)))

    def summaries(self) -> list[Summary]:
        """Return all histograms in numbers."""
        return [
            Summary(
                org=key.org,
                request_class=key.request_class,
                measure=key.measure.value,
                count=found.get_total_count(),
                p50=found.get_value_at_percentile(50.0),
                p95=found.get_value_at_percentile(95.0),
                p99=found.get_value_at_percentile(99.0),
                max=found.get_max_value(),
            )
            for key, found in sorted(
                self._series.items(), key=lambda item: tuple(map(str, item[0]))
            )
        ]

    def _open(self, key: SeriesKey) -> HdrHistogram:
        if len(self._series) >= MAX_SERIES * len(Measure):
            key = SeriesKey(_OTHER, ClassId("(others)"), key.measure)
        if key not in self._series:
            self._series[key] = HdrHistogram(_LOWEST, _HIGHEST, _DIGITS)
        return self._series[key]
