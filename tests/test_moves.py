"""The count of requests that moved within their session."""

import json

from bench.moves import Asked
from bench.moves import count_moves
from bench.moves import drawn_by_memory
from bench.moves import requests_of

from spanshunt.utils import unit_hash

DRAWN = next(str(n) for n in range(1_000) if unit_hash("7", str(n)) < 0.05)


def asked(at: float, box: str, version: str = "v1", session: str = DRAWN) -> Asked:
    return Asked(at, session, box, version, at, at + 0.1)


def test_only_sessions_that_went_on_count():
    rows = [asked(1, "a"), asked(2, "b", "v2"), asked(9, "b"), asked(9.5, "b", "v2")]
    assert count_moves(rows) == 2
    assert count_moves([asked(1, "a"), asked(2, "a", "v2", "other")]) == 0


def test_box_that_never_saw_a_session_draws_it_and_the_first_moves_it_back():
    rows = [asked(0.1, "a"), asked(2, "b"), asked(3, "a"), asked(4, "b")]
    assert count_moves(drawn_by_memory(rows, "7")) == 3
    assert count_moves(drawn_by_memory([asked(0.1, "a"), asked(2, "a")], "7")) == 0


def test_log_lines_are_read(tmp_path):
    path = tmp_path / "play.log"
    lines = [
        {"event": "roll-out ordered", "at": 12.0, "age_ms": 2_000},
        {"event": "dispatch", "at": 11.0, "request": "r", "session": "s"}
        | {"box": "a", "version": "v1"},
        {"event": "dispatch", "at": 11.2, "request": "r", "session": "s"}
        | {"box": "a", "version": "v2"},
        {"event": "first event", "at": 11.5, "request": "r"},
        {"event": "settled", "at": 12.5, "request": "r"},
        {"event": "dispatch", "at": 13.0, "request": "cut", "session": "s"},
    ]
    text = "".join(f"  1.5 box {json.dumps(line)}\n" for line in lines)
    path.write_text("no line\n" + text)
    assert requests_of(path) == [Asked(1.0, "s", "a", "v1", 1.5, 2.5)]
