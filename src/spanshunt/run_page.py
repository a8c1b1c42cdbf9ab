"""The report of a run as one HTML page, with plots and without scripts."""

import html
import io
import typing as t

from .exceptions import SpanshuntError
from .run_summary import RunSummary
from .run_summary import quantile

if t.TYPE_CHECKING:
    from matplotlib.axes import Axes

PLOT_INCHES = (10.0, 2.6)
"""Width and height of a plot."""

WORKERS_SHOWN = 60
"""Workers in the plot of attempts, those with most attempts."""

_STYLE = """
body { font: 14px sans-serif; margin: 2em; max-width: 75em }
table { border-collapse: collapse; margin: 1em 0 }
td, th { border: 1px solid #bbb; padding: 2px 8px; text-align: right }
td.text, th { text-align: left }
"""

_Plot = t.Callable[["Axes"], None]


class NoPlotsError(SpanshuntError):
    """The library for plots is not installed."""


def run_page(summary: RunSummary) -> str:
    """Return the page.

    Raises
    ------
    NoPlotsError
        If matplotlib is not installed.
    """
    span = summary.end - summary.begin
    parts = [
        f"<title>spanshunt run</title><style>{_STYLE}</style>",
        "<h1>Run</h1>",
        f"<p>{span:.1f} s, {len(summary.boxes)} boxes, {summary.lines} lines, "
        f"{summary.unreadable} unreadable.</p>",
        "<h2>Requests by route</h2>",
        _route_table(summary),
        "<h2>Outcomes a second</h2>",
        _svg(lambda axes: _plot_outcomes(axes, summary)),
        "<h2>Time of delivered requests, ms</h2>",
        _svg(lambda axes: _plot_times(axes, summary)),
        "<h2>Attempts by worker</h2>",
        _svg(lambda axes: _plot_workers(axes, summary)),
        "<h2>What boxes came to believe</h2>",
        _event_table(summary),
    ]
    return "<!doctype html>\n<meta charset=utf-8>\n" + "\n".join(parts) + "\n"


def _route_table(summary: RunSummary) -> str:
    outcomes = sorted(
        {name for row in summary.routes.values() for name in row.outcomes}
    )
    rows = []
    for name, row in sorted(summary.routes.items()):
        times = [str(quantile(row.took, part)) for part in (0.5, 0.95, 0.99)]
        counts = [str(row.outcomes[outcome]) for outcome in outcomes]
        rows.append([name, *counts, *times])
    return _table(["route", *outcomes, "p50 ms", "p95 ms", "p99 ms"], rows)


def _outcomes(summary: RunSummary) -> list[str]:
    return sorted({name for row in summary.routes.values() for name in row.outcomes})


def _event_table(summary: RunSummary) -> str:
    rows = [
        [f"{row.at:.3f}", row.box, row.event, row.detail[:300]]
        for row in summary.events
    ]
    left = f"<p>{summary.events_left} more are not shown.</p>"
    table = _table(["s", "box", "event", "detail"], rows, text_from=1)
    return table + (left if summary.events_left else "")


def _table(head: list[str], rows: list[list[str]], text_from: int = -1) -> str:
    """Return a table; from column `text_from` on, and the first, cells are text."""
    lines = ["<table>", _row("th", head, 0)]
    for row in rows:
        lines.append(_row("td", row, text_from))
    return "\n".join([*lines, "</table>"])


def _row(tag: str, cells: list[str], text_from: int) -> str:
    made = []
    for index, cell in enumerate(cells):
        text = index == 0 or 0 <= text_from <= index
        kind = ' class="text"' if text else ""
        made.append(f"<{tag}{kind}>{html.escape(cell)}</{tag}>")
    return "<tr>" + "".join(made) + "</tr>"


def _svg(plot: _Plot) -> str:
    try:
        from matplotlib.figure import Figure
    except ImportError as exc:
        message = "matplotlib: not installed; pip install 'spanshunt[report]'"
        raise NoPlotsError(message) from exc
    figure = Figure(figsize=PLOT_INCHES, layout="constrained")
    plot(figure.subplots())
    out = io.StringIO()
    figure.savefig(out, format="svg")
    text = out.getvalue()
    return text[text.index("<svg") :]


def _plot_outcomes(axes: "Axes", summary: RunSummary) -> None:
    seconds = range(max(summary.seconds, default=0) + 1)
    names = _outcomes(summary)
    counts = [
        [
            summary.seconds[second].outcomes[name] if second in summary.seconds else 0
            for second in seconds
        ]
        for name in names
    ]
    if names:
        axes.stackplot(seconds, counts, labels=names)
        axes.legend(loc="upper left", fontsize="small", ncols=4)
    axes.set_xlabel("s")


def _plot_times(axes: "Axes", summary: RunSummary) -> None:
    seconds = sorted(second for second, row in summary.seconds.items() if row.took)
    for part in (0.5, 0.95):
        values = [quantile(summary.seconds[second].took, part) for second in seconds]
        axes.plot(seconds, values, label=f"p{part * 100:.0f}")
    if seconds:
        axes.set_yscale("log")
        axes.legend(loc="upper left", fontsize="small")
    axes.set_xlabel("s")


def _plot_workers(axes: "Axes", summary: RunSummary) -> None:
    totals: dict[str, int] = {}
    for (worker, _ending), count in summary.endings.items():
        totals[worker] = totals.get(worker, 0) + count
    workers = sorted(totals, key=lambda name: -totals[name])[:WORKERS_SHOWN]
    base = [0] * len(workers)
    for ending in sorted({ending for _worker, ending in summary.endings}):
        heights = [summary.endings[worker, ending] for worker in workers]
        axes.bar(workers, heights, bottom=base, label=ending)
        base = [low + height for low, height in zip(base, heights, strict=True)]
    if workers:
        axes.legend(fontsize="small", ncols=4)
    axes.tick_params(axis="x", rotation=90, labelsize=6)
