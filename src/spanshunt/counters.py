"""Counters and histograms as text, for the metrics address."""

import collections

from .histograms import Histograms


class Counters:
    """Counts by name; names are fixed in the code, so their number is bounded."""

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()

    def add(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += value

    def value(self, name: str) -> int:
        """Return a counter's value, 0 if it never counted."""
        return self._counts[name]

    def lines(self) -> list[str]:
        """Return one line a counter, sorted by name."""
        return [f"spanshunt_{name} {n}" for name, n in sorted(self._counts.items())]


def metrics_page(counters: Counters, histograms: Histograms) -> str:
    """Return all counters, and each histogram in quantiles, one a line."""
    lines = counters.lines()
    for row in histograms.summaries():
        labels = f'org="{row.org}",class="{row.request_class}"'
        name = f"spanshunt_{row.measure}"
        lines.append(f"{name}_count{{{labels}}} {row.count}")
        for quantile, value in (("0.5", row.p50), ("0.95", row.p95), ("0.99", row.p99)):
            lines.append(f'{name}{{{labels},quantile="{quantile}"}} {value}')
        lines.append(f"{name}_max{{{labels}}} {row.max}")
    return "\n".join(lines) + "\n"
