"""Slopes of a daemon's control work, for docs/CAPACITY.md.

Run with ``python -m bench.slopes``. Each figure is measured at four sizes or more; the
slope and the largest residual of a straight line are printed beside it.
"""

import gc
import random
import statistics
import time
import tracemalloc
import typing as t

import msgspec

from spanshunt.changes import PutOrg
from spanshunt.changes import PutVersion
from spanshunt.ids import BoxId
from spanshunt.ids import ClassId
from spanshunt.ids import DomainId
from spanshunt.ids import Incarnation
from spanshunt.ids import Micros
from spanshunt.ids import Millis
from spanshunt.ids import Offset
from spanshunt.ids import OrgId
from spanshunt.ids import PlanId
from spanshunt.ids import RequestId
from spanshunt.ids import ServiceId
from spanshunt.ids import VersionId
from spanshunt.ids import WorkerId
from spanshunt.peers.messages import Exchange
from spanshunt.peers.messages import ExchangeAnswer
from spanshunt.peers.news_rows import workers_news
from spanshunt.records import Bills
from spanshunt.records import Claim
from spanshunt.records import Claims
from spanshunt.records import Confirm
from spanshunt.records import JournalPart
from spanshunt.records import LogRecord
from spanshunt.records import Usage
from spanshunt.records import encode_record
from spanshunt.systems.claiming import fold_claims
from spanshunt.systems.fold import fold_record
from spanshunt.systems.fold import snapshot_of
from spanshunt.systems.gossip import answer_exchange
from spanshunt.systems.gossip import apply_exchange_answer
from spanshunt.systems.gossip import build_exchange
from spanshunt.systems.journaling import record_bill
from spanshunt.systems.learning import record_counts
from spanshunt.systems.limiting import admit
from spanshunt.systems.limiting import update_usage
from spanshunt.systems.worker_choice import eligible_workers
from spanshunt.systems.worker_choice import end_ejections
from spanshunt.systems.worker_choice import least_loaded_picker
from spanshunt.tables.config import Config
from spanshunt.tables.config import Limits
from spanshunt.tables.config import OrgRow
from spanshunt.tables.config import VersionRow
from spanshunt.tables.evidence import Cell
from spanshunt.tables.evidence import Counts
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.identity import Identity
from spanshunt.tables.state import State
from spanshunt.tables.state import new_state
from spanshunt.tables.workers import WorkerRow

DOMAINS = 12
ROUND_MS = 1_000


class Point(t.NamedTuple):
    """One measurement: a size and a figure."""

    size: int
    value: float


def fit(points: list[Point]) -> tuple[float, float, float]:
    """Return slope, intercept and the largest residual of a straight line."""
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    slope, intercept = statistics.linear_regression(sizes, values)
    worst = max(abs(p.value - (slope * p.size + intercept)) for p in points)
    return slope, intercept, worst


def show(name: str, unit: str, points: list[Point]) -> None:
    """Print a row of measurements with its line."""
    slope, intercept, worst = fit(points)
    cells = "  ".join(f"{p.size}: {p.value:.4g}" for p in points)
    print(
        f"{name} [{unit}]\n    {cells}\n"
        f"    slope {slope:.4g}, intercept {intercept:.4g}, residual {worst:.3g}"
    )


def timed(job: t.Callable[[], t.Any], repeats: int) -> float:
    """Return the median time of one call, in microseconds of processor time."""
    times = []
    for _ in range(repeats):
        began = time.process_time_ns()
        job()
        times.append(time.process_time_ns() - began)
    return statistics.median(times) / 1000


def memory_of(make: t.Callable[[], t.Any]) -> float:
    """Return the bytes that what `make` returns holds."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)


def a_state(number: int) -> State:
    """Return the tables of one of many boxes."""
    box = f"box-{number:04d}"
    domain = f"domain-{number % DOMAINS}"
    me = Identity(
        BoxId(box),
        DomainId(domain),
        f"10.0.{number // 250}.{number % 250}:7002",
        Incarnation(f"{box}.000000000001.abcdef01"),
    )
    return new_state(me, Millis(0))


def gossip_points(sizes: tuple[int, ...]) -> dict[str, list[Point]]:
    """Return bytes, time and spread of gossip by number of boxes, idle and busy."""
    idle, busy, cpu, spread = [], [], [], []
    for size in sizes:
        boxes = [a_state(number) for number in range(size)]
        rng = random.Random(1)
        addresses = {box.identity.box: box for box in boxes}
        for box in boxes:
            for other in rng.sample(boxes, min(size, 20)):
                _round(box, other, 0, rng)
        bytes_idle, micros = _rounds(boxes, addresses, 5, rng, busy=False)
        bytes_busy, _ = _rounds(boxes, addresses, 5, rng, busy=True)
        per_s = 1000 / ROUND_MS
        idle.append(Point(size, bytes_idle * per_s))
        busy.append(Point(size, bytes_busy * per_s))
        cpu.append(Point(size, micros * per_s))
        spread.append(Point(size, _spread(boxes, addresses, rng)))
    return {"idle": idle, "busy": busy, "cpu": cpu, "spread": spread}


def _round(one: State, other: State, now: int, rng: random.Random) -> int:
    at = Millis(now)
    one.heartbeat += 1
    told = build_exchange(one, other.identity.incarnation, at, rng)
    raw = msgspec.msgpack.encode(told)
    got = answer_exchange(
        other, msgspec.msgpack.decode(raw, type=Exchange), at, at, rng
    )
    back = msgspec.msgpack.encode(got)
    kept = msgspec.msgpack.decode(back, type=ExchangeAnswer)
    apply_exchange_answer(one, kept, at, at, at)
    return len(raw) + len(back)


def _rounds(
    boxes: list[State],
    addresses: dict[BoxId, State],
    rounds: int,
    rng: random.Random,
    busy: bool,
) -> tuple[float, float]:
    """Return bytes sent and received, and microseconds, a box and round."""
    total = 0
    began = time.process_time_ns()
    for number in range(rounds):
        now = 1_000 + number * ROUND_MS
        for box in boxes:
            if busy:
                _see_work(box, now, rng)
            row = rng.choice(list(box.members.rows.values()))
            total += _round(box, addresses[row.box], now, rng)
    micros = (time.process_time_ns() - began) / 1000
    # Each byte is sent by one box and received by another, so it counts twice; the time
    # is that of both sides.
    return 2 * total / len(boxes) / rounds, micros / len(boxes) / rounds


def _see_work(box: State, now: int, rng: random.Random) -> None:
    for _ in range(10):
        cell = Cell(
            VersionId(f"model@{rng.randrange(5)}"),
            ClassId(f"class-{rng.randrange(3)}"),
            OrgId(f"org-{rng.randrange(10)}"),
        )
        record_counts(
            box.evidence, box.identity.incarnation, Millis(now), cell, Counts(runs=1)
        )
        org = OrgId(f"org-{rng.randrange(10)}")
        admit(box.usage, org, Limits(), 6, Millis(now), Millis(now))
        box.usage.own[org].running = 1


def _spread(
    boxes: list[State], addresses: dict[BoxId, State], rng: random.Random
) -> float:
    """Return rounds until a record that one box has is folded on all of them."""
    fold_next(boxes[0], a_confirm(0))
    record = boxes[0].recent_records[-1] if boxes[0].recent_records else None
    assert record is not None
    rounds = 0
    while any(box.config.next_offset == 0 for box in boxes):
        rounds += 1
        for box in boxes:
            row = rng.choice(list(box.members.rows.values()))
            _round(box, addresses[row.box], 10_000 + rounds * ROUND_MS, rng)
    return rounds


def a_confirm(number: int) -> Confirm:
    """Return a confirmed plan that changes one organisation."""
    org = OrgRow(
        name=f"org-{number:05d}",
        credentials=(f"{number:064d}",),
        allowed=("mini", "medio", "pro"),
    )
    return Confirm(PlanId(f"{number:064d}"), (PutOrg(org),), {}, "ops", Millis(0))


def fold_next(state: State, record: t.Any) -> None:
    """Fold a record as the next of the log."""
    made = LogRecord(state.config.next_offset, Millis(0), encode_record(record))
    fold_record(state.config, made)
    state.recent_records.append(made)


def main() -> None:
    """Print all slopes."""
    gossip = gossip_points((6, 24, 96, 192))
    show("gossip, idle, sent and received", "bytes/s a daemon", gossip["idle"])
    show("gossip, 25 requests/s a daemon", "bytes/s a daemon", gossip["busy"])
    show("gossip, both sides", "us/s a daemon", gossip["cpu"])
    show("spread of a record by gossip alone", "rounds", gossip["spread"])
    _config_slopes()
    _table_slopes()
    _request_costs()
    _stream_sizes()
    _list_sizes()


def _config_slopes() -> None:
    sizes = (100, 400, 1_600, 6_400)
    folds, memory, snapshots = [], [], []
    for size in sizes:
        state = a_state(0)
        for number in range(size):
            fold_next(state, a_confirm(number))
        record = a_confirm(size + 1)
        folds.append(Point(size, timed(lambda s=state, r=record: fold_next(s, r), 51)))
        memory.append(Point(size, memory_of(lambda s=size: _filled_config(s))))
        raw = encode_record(snapshot_of(state.config))
        snapshots.append(Point(size, float(len(raw))))
    show("folding one change", "us, by organisations", folds)
    show("configuration", "bytes, by organisations", memory)
    show("snapshot", "bytes, by organisations", snapshots)


def _filled_config(size: int) -> Config:
    state = a_state(0)
    for number in range(size):
        fold_next(state, a_confirm(number))
    return state.config


def _table_slopes() -> None:
    sizes = (100, 1_000, 4_000, 10_000)
    rng = random.Random(1)
    pick = least_loaded_picker(rng)
    choosing, letting, memory = [], [], []
    for size in sizes:
        state = _with_workers(size)

        def choose_one(s: State = state) -> None:
            rows = eligible_workers(
                s.workers, ServiceId("s"), VersionId("mini@1"), (), rng
            )
            pick(rows)

        choosing.append(Point(size, timed(choose_one, 51)))
        letting.append(
            Point(size, timed(lambda s=state: end_ejections(s.workers, 0), 51))
        )
        memory.append(Point(size, memory_of(lambda n=size: _with_workers(n).workers)))
    show("choosing a worker", "us a request, by workers", choosing)
    show("letting workers back, one tick", "us, by workers", letting)
    show("workers", "bytes, by workers", memory)
    ticks, rows = [], []
    for size in (10, 100, 1_000, 4_000):
        state = a_state(0)
        limits = {OrgId(f"org-{n}"): Limits() for n in range(size)}
        for org, bound in limits.items():
            admit(state.usage, org, bound, 6, Millis(0), Millis(0))
        ticks.append(
            Point(
                size,
                timed(
                    lambda s=state, b=limits: update_usage(
                        s.usage, b, 6, Millis(1), 100
                    ),
                    51,
                ),
            )
        )
        rows.append(Point(size, memory_of(lambda n=size: _with_evidence(n))))
    show("limits, one tick", "us, by organisations in use here", ticks)
    show("evidence", "bytes, by rows (cells by epochs by origins)", rows)


def _list_sizes() -> None:
    """Bytes of the workers' list as a box on the platform tells it to another."""
    points = []
    for size in (300, 1_000, 3_000, 10_000):
        me = Identity(BoxId("a"), DomainId("d"), "a:1", Incarnation("a.1"))
        fleet = Fleet(identity=me)
        for number in range(size):
            name = WorkerId(f"i-{number:010x}")
            fleet.workers.rows[name] = WorkerRow(
                name=name,
                service=ServiceId("redactor-ia"),
                domain=DomainId("nave-norte"),
                address=f"10.1.{number // 250}.{number % 250}:8162",
                versions=frozenset({VersionId("v1")}),
            )
        told = msgspec.msgpack.encode(workers_news(fleet, Millis(0)))
        points.append(Point(size, float(len(told))))
    show("list told to a box", "bytes, by workers", points)


def _with_workers(size: int) -> State:
    state = a_state(0)
    for number in range(size):
        name = WorkerId(f"10.1.{number // 250}.{number % 250}:8000")
        state.workers.rows[name] = WorkerRow(
            name=name,
            service=ServiceId("s"),
            domain=DomainId("d"),
            versions=frozenset({VersionId("mini@1")}),
        )
    return state


def _with_evidence(size: int) -> t.Any:
    state = a_state(0)
    for number in range(size):
        cell = Cell(VersionId("mini@1"), ClassId("note"), OrgId(f"org-{number}"))
        record_counts(state.evidence, "box", Millis(0), cell, Counts(runs=1))
    return state.evidence


def _request_costs() -> None:
    state = a_state(0)
    config = Config()
    row = VersionRow("mini@1", "s", Micros(1), Micros(1))
    fold_next(state, Confirm(PlanId("x"), (PutVersion(row),), {}, "o", Millis(0)))
    usage = (Usage(VersionId("mini@1"), 100, 100, Micros(5)),)
    memory = []
    for size in (1_000, 4_000, 16_000, 64_000):

        def journal(count: int = size) -> t.Any:
            kept = a_state(0).journal
            for number in range(count):
                request = RequestId(f"req-{number:024d}")
                record_bill(kept, request, OrgId("o"), ServiceId("s"), Millis(0), usage)
            return kept

        memory.append(Point(size, memory_of(journal)))
    show("journal", "bytes, by open bills", memory)
    claims = []
    for size in (1_000, 4_000, 16_000, 64_000):

        def table(count: int = size) -> t.Any:
            kept = a_state(0).claims
            for number in range(count):
                claim = Claim(
                    f"{number:032d}",
                    Incarnation("box-0001.1"),
                    RequestId(f"req-{number:024d}"),
                    Millis(0),
                )
                raw = encode_record(Claims((claim,)))
                fold_claims(kept, LogRecord(Offset(number), Millis(0), raw))
            return kept

        claims.append(Point(size, memory_of(table)))
    show("claims", "bytes, by keys in their lifetime", claims)
    del config


def _stream_sizes() -> None:
    usage = (Usage(VersionId("mini@1"), 100, 100, Micros(5)),)
    points = []
    for size in (1, 10, 100, 1_000):
        kept = a_state(0).journal
        entries = tuple(
            record_bill(
                kept,
                RequestId(f"req-{number:024x}"),
                OrgId("museo-nacional"),
                ServiceId("redactor-ia"),
                Millis(1_700_000_000_000),
                usage,
            )
            for number in range(size)
        )
        part = JournalPart(kept.incarnation, entries)
        points.append(Point(size, float(len(encode_record(Bills((part,)))))))
    show("one record of bills", "bytes, by entries", points)


if __name__ == "__main__":
    main()
