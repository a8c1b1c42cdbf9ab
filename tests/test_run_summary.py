"""What a run's logs add up to, and the page made of it."""

import json
import typing as t

import pytest

from builders import run_tool
from spanshunt.run_page import run_page
from spanshunt.run_summary import EVENTS_MOST
from spanshunt.run_summary import quantile
from spanshunt.run_summary import summarise


def line(at: float, event: str, box: str = "box-1", **fields: t.Any) -> bytes:
    members = {"at": at, "level": "INFO", "box": box, "event": event, **fields}
    return json.dumps(members).encode()


def settled(at: float, outcome: str, took: int, *attempts: str) -> bytes:
    return line(
        at,
        "settled",
        request=f"r{at}",
        outcome=outcome,
        route="r-long",
        took_ms=took,
        attempts=attempts,
    )


RUN = [
    settled(
        101.5, "delivered", 300, "w-1:small:better:40ms", "w-2:large:delivered:90ms"
    ),
    settled(100.2, "delivered", 100, "w-1:small:delivered:100ms"),
    settled(101.9, "deadline", 1500, "w-1::late:1500ms"),
    line(100.0, "catalog", version=7),
    line(101.0, "refused", outcome="not-found"),
    b"no log line",
]


def test_requests_by_route_and_second():
    summary = summarise(RUN)
    assert (summary.lines, summary.unreadable) == (5, 1)
    assert summary.routes["r-long"].outcomes == {"delivered": 2, "deadline": 1}
    assert summary.routes["(none)"].outcomes == {"not-found": 1}
    assert summary.seconds[0].took == [100]
    assert summary.seconds[1].outcomes["deadline"] == 1


def test_attempts_by_worker_and_ending():
    endings = summarise(RUN).endings
    assert endings["w-1", "better"] == 1
    assert endings["w-2", "delivered"] == 1
    assert endings["w-1", "late"] == 1


def test_events_are_in_order_and_bounded():
    many = [line(200.0 - n / 100, "store lost", box=f"b{n}") for n in range(500)]
    summary = summarise(many)
    assert len(summary.events) == EVENTS_MOST
    assert summary.events_left == 100
    assert summary.events[0].at <= summary.events[-1].at


@pytest.mark.parametrize(
    ("values", "part", "found"), [([], 0.5, 0), ([3, 1, 2], 0.5, 2), ([1, 2], 0.99, 2)]
)
def test_quantile(values: list[int], part: float, found: int):
    assert quantile(values, part) == found


def test_page_holds_tables_and_plots_and_escapes_what_logs_hold():
    evil = line(102.0, "store lost", detail="<script>alert(1)</script>")
    page = run_page(summarise([*RUN, evil]))
    assert page.count("<svg") == 3
    assert "r-long" in page and "deadline" in page
    assert "<script" not in page and "&lt;script&gt;" in page


def test_page_of_a_run_without_requests():
    assert run_page(summarise([line(1.0, "started")])).count("<svg") == 3


def test_tool_writes_the_page(tmp_path):
    log, page = tmp_path / "box.log", tmp_path / "run.html"
    log.write_bytes(b"\n".join(RUN))
    done = run_tool("report", str(log), "--out", str(page))
    assert done.returncode == 0, done.stderr
    assert "<svg" in page.read_text()


def test_tool_says_that_there_is_no_log_line(tmp_path):
    log = tmp_path / "other.txt"
    log.write_text("nothing")
    done = run_tool("report", str(log))
    assert done.returncode == 1
    assert "no log line among 1" in " ".join(done.stderr.split())
