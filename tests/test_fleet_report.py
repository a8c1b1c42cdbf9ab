"""What a box tells operators of the whole fleet, and the tool that shows it."""

import json

import msgspec
import pytest

from builders import run_tool
from fleet_builders import add_worker
from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from fleet_builders import note_result
from fleet_builders import running_fleet
from spanshunt.fleet_report import fleet_view
from spanshunt.fleet_report import worker_speed_lines
from spanshunt.ids import BoxId
from spanshunt.ids import DomainId
from spanshunt.ids import Fingerprint
from spanshunt.ids import Offset
from spanshunt.ids import ServiceId
from spanshunt.ids import VersionId
from spanshunt.standins.worker_faults import WorkerFault
from spanshunt.systems.evacuating import apply_evacuation
from spanshunt.systems.quarantining import record_end_during
from spanshunt.systems.quarantining import update_quarantine
from spanshunt.systems.ramping import apply_order
from spanshunt.systems.ramping import bar_versions
from spanshunt.systems.repeats import RepeatBounds
from spanshunt.systems.repeats import count_repeat
from spanshunt.systems.repeats import count_request
from spanshunt.systems.worker_health import record_unreachable
from spanshunt.systems.worker_speed import record_slowdown
from spanshunt.tables.fleet import EvacuationRow
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.fleet import PeerRow
from spanshunt.tables.rollouts import Finding

WRITER = ServiceId("writer")


def view_of(fleet: Fleet, now: int = 100):
    return fleet_view(fleet, RepeatBounds(), "", ms(now))


def with_workers(*names: str) -> Fleet:
    fleet = make_fleet()
    for name in names:
        fleet.workers.rows[name] = make_worker(name)
    return fleet


def test_says_why_each_worker_is_out():
    fleet = with_workers("a", "b", "c", "d")
    fleet.workers.leaving.add("a")
    record_unreachable(fleet.workers.rows["b"], ms(100))
    fleet.missing_workers.add("c")
    out = {row.worker: row.out for row in view_of(fleet).workers}
    assert out["a"] == "leaving"
    assert out["b"].startswith("failed 1 times; out for")
    assert "lapsed" in out["c"]
    assert out["d"] == ""


def test_says_that_a_version_was_taken_back():
    fleet = with_workers("a")
    apply_order(fleet, WRITER, VersionId("v2"), Offset(1), ms(10), ms(0))
    bar_versions(fleet.rollouts.rows[WRITER], [VersionId("v1")])
    assert "taken back" in view_of(fleet).workers[0].out


def test_speed_of_each_worker():
    fleet = with_workers("a", "b")
    row = fleet.workers.rows["b"]
    row.speed.usual_factor, row.speed.answers = 1.6, 9
    record_slowdown(row, 2.5, ms(100))
    usual, slow = view_of(fleet).workers
    assert (usual.usual_factor, usual.slowdown) == (1.0, 1.0)
    assert (slow.usual_factor, slow.slowdown) == (1.6, 2.5)
    page = worker_speed_lines(fleet, ms(100))
    assert 'spanshunt_worker_usual_factor{worker="b"} 1.60\n' in page
    assert 'spanshunt_worker_slowdown{worker="b"} 2.50\n' in page
    assert '"a"' not in page


def test_rollout_with_its_evidence():
    fleet = with_workers("a")
    apply_order(fleet, WRITER, VersionId("v2"), Offset(1), ms(60), ms(0))
    entering = frozenset({VersionId("v2")})
    for finding in (None, None, Finding.FAILED, Finding.SLOW):
        note_result(fleet, WRITER, "route", entering, ms(1), finding)
    row = view_of(fleet).rollouts[0]
    assert (row.version, row.verdict) == ("v2", "running")
    assert (row.answers, row.failed, row.slow) == (4, 1, 1)


def test_budget_of_repeats_and_peers():
    fleet = make_fleet()
    for _ in range(10):
        count_request(fleet, WRITER, ms(99))
    count_repeat(fleet, WRITER, ms(99))
    fleet.peers[BoxId("x")] = PeerRow(
        BoxId("x"), "x:1", DomainId("south"), heard=ms(98), served=False
    )
    view = view_of(fleet)
    assert (view.budgets[0].requests, view.budgets[0].repeats) == (10, 1)
    assert view.budgets[0].allowed > 1
    assert (view.peers[0].heard_ms, view.peers[0].served) == (2_000, False)


async def test_box_serves_it_beside_its_metrics():
    async with running_fleet(boxes=2) as fleet:
        box = fleet.boxes[0]
        fleet.workers["p-1"].fault = WorkerFault.FULL
        await fleet.ask(box, "/view/")
        async with fleet.http.get(box.metrics + "/fleet") as resp:
            view = await resp.json()
        assert view["ready"] == "yes"
        assert view["catalog"] == 7
        assert {row["worker"] for row in view["workers"]} >= {"p-1", "w-1"}
        async with fleet.http.get(box.metrics + "/metrics") as resp:
            assert "spanshunt_" in await resp.text()


def test_tool_reads_a_kept_view(tmp_path):
    fleet = with_workers("a", "b")
    fleet.workers.leaving.add("b")
    kept = tmp_path / "view.json"
    kept.write_bytes(msgspec.json.encode(view_of(fleet)))
    shown = run_tool("fleet", str(kept))
    assert shown.returncode == 0, shown.stderr
    assert "workers:" in shown.stdout and "leaving" in shown.stdout
    as_json = run_tool("fleet", str(kept), "--json")
    assert json.loads(as_json.stdout)["box"] == "box-1"


@pytest.mark.parametrize(
    ("source", "words"),
    [("no-such-file", "No such file"), ("http://127.0.0.1:9", "not reached")],
)
def test_tool_says_what_is_wrong(source: str, words: str):
    shown = run_tool("fleet", source)
    assert shown.returncode != 0
    assert words in " ".join(shown.stderr.split())


def test_tool_refuses_a_file_that_is_no_view(tmp_path):
    other = tmp_path / "other.json"
    other.write_text('{"box": 3}')
    shown = run_tool("fleet", str(other))
    assert shown.returncode == 2
    assert "no view of a fleet" in " ".join(shown.stderr.split())


def test_tells_contents_that_are_kept_back():
    fleet = with_workers("a")
    for number in range(3):
        assert not view_of(fleet).kept_back
        row = make_worker(f"w-{number}")
        known = record_end_during(fleet, Fingerprint("f"), WRITER, row, ms(number))
    assert update_quarantine(fleet, known, ms(3))
    told = view_of(fleet).kept_back[0]
    assert told.ends == ("w-0", "w-1", "w-2")
    assert told.last_end_ms == ms(98)
    assert told.found_by == "box-1" and not told.recorded


def test_why_a_worker_gets_little_or_nothing():
    fleet = make_fleet()
    cold = add_worker(fleet, make_worker("w-cold"))
    cold.cold_until = ms(3)
    add_worker(fleet, make_worker("w-away", domain="south"))
    word = EvacuationRow(DomainId("south"), Offset(3), active=True)
    apply_evacuation(fleet, word, ms(1))
    view = fleet_view(fleet, RepeatBounds(), "", ms(1))
    out = {row.worker: row.out for row in view.workers}
    assert out["w-cold"] == "cold for 2000 ms; gets little"
    assert out["w-away"] == "operators emptied south"
    assert view.emptied == ("south",)
