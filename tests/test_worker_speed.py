"""Speed of each worker: in the choice of workers, learned, and shared by boxes."""

import collections
import random

from fleet_builders import add_worker
from fleet_builders import learn_speed
from fleet_builders import make_fleet
from fleet_builders import make_prompt
from fleet_builders import make_worker
from fleet_builders import ms
from fleet_builders import seeded
from spanshunt.ids import DomainId
from spanshunt.ids import Millis
from spanshunt.ids import ServiceId
from spanshunt.systems.placing import CROSS_DOMAIN_BATCH_FRACTION
from spanshunt.systems.placing import NOISE_BATCH_FRACTION
from spanshunt.systems.placing import PlacementRequest
from spanshunt.systems.placing import batch_load
from spanshunt.systems.placing import choose_worker
from spanshunt.systems.ramping import VersionRule
from spanshunt.systems.worker_health import WorkerLoad
from spanshunt.systems.worker_health import record_load
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.workers import WorkerRow

NORTH = DomainId("north")
TARGET_MS = Millis(800)


def make_request(*, engine: bool = True, shared: int = 0) -> PlacementRequest:
    prompt = make_prompt(read=1_000, shared=shared) if engine else None
    return PlacementRequest(
        ServiceId("writer"), VersionRule(), NORTH, prompt, TARGET_MS
    )


def make_fleet_of(count: int, box: str = "box-1") -> tuple[Fleet, list[WorkerRow]]:
    fleet = make_fleet(box)
    learn_speed(fleet, "large", read_ms=0.1)
    rows = [add_worker(fleet, make_worker(f"w-{n:02}")) for n in range(count)]
    return fleet, rows


def count_choices(
    fleet: Fleet, request: PlacementRequest, now: Millis, requests: int
) -> collections.Counter[str]:
    """Return how often each worker is chosen if none of its requests ends."""
    rng = seeded()
    counts: collections.Counter[str] = collections.Counter()
    for _ in range(requests):
        placed = choose_worker(fleet, request, now, rng)
        assert placed is not None
        placed.worker.inflight += 1
        placed.worker.prefill_ms += placed.expected.read_ms if placed.expected else 0
        counts[placed.worker.name] += 1
    return counts


# Guards against other choices where no worker reports or shows a speed.
def test_workers_of_unknown_speed_are_chosen_by_load_as_ever():
    fleet, rows = make_fleet_of(8)
    draw = seeded(3)
    for row in rows:
        row.inflight = draw.randrange(4)
        row.domain = draw.choice([NORTH, DomainId("south")])
        record_load(row, WorkerLoad(draw.randrange(9), 0, 8), ms(1))
    rng, again = seeded(), seeded()

    def cost(row: WorkerRow) -> float:
        far = CROSS_DOMAIN_BATCH_FRACTION if row.domain != NORTH else 0.0
        return batch_load(row, ms(1.1)) + far + NOISE_BATCH_FRACTION * again.random()

    for _ in range(200):
        placed = choose_worker(fleet, make_request(engine=False), ms(1.1), rng)
        assert placed is not None
        assert placed.worker is min(rows, key=cost)


def test_report_of_usual_speed_changes_no_choice():
    told, rows = make_fleet_of(8)
    plain, others = make_fleet_of(8)
    for row, other in zip(rows, others, strict=True):
        record_load(row, WorkerLoad(2, 0, 8, 1.0), ms(1))
        record_load(other, WorkerLoad(2, 0, 8), ms(1))
    for engine in (True, False):
        request = make_request(engine=engine)
        found = count_choices(told, request, ms(1.1), 50)
        assert found == count_choices(plain, request, ms(1.1), 50)


def test_engine_that_is_slow_now_is_expected_to_take_longer_and_gets_less():
    fleet, rows = make_fleet_of(3)
    record_load(rows[0], WorkerLoad(0, 0, 8, 2.5), ms(1))
    counts = count_choices(fleet, make_request(), ms(1.05), 24)
    assert counts["w-00"] < 24 / 4
    assert min(counts["w-01"], counts["w-02"]) > 24 / 3


def test_slow_plain_worker_gets_less_and_is_used_once_others_are_full():
    fleet, rows = make_fleet_of(3)
    rows[0].speed.usual_factor = 2.0
    assert "w-00" not in count_choices(fleet, make_request(engine=False), ms(1), 12)
    assert "w-00" in count_choices(fleet, make_request(engine=False), ms(1), 12)


def test_slow_owner_of_shared_parts_is_passed_over():
    fleet, rows = make_fleet_of(4)
    request = make_request(shared=900)
    (owner,) = count_choices(fleet, request, ms(1), 1)
    for row in rows:
        row.inflight, row.prefill_ms = 0, 0.0
    fleet.workers.rows[owner].speed.usual_factor = 4.0
    assert owner not in count_choices(fleet, request, ms(1), 1)


# Guards against a herd: all boxes hear the same report and know the same speeds.
def test_boxes_with_the_same_reports_spread_over_near_equal_workers():
    counts: collections.Counter[str] = collections.Counter()
    for box in range(61):
        fleet, rows = make_fleet_of(12)
        for number, row in enumerate(rows):
            row.speed.usual_factor = (0.6, 1.0, 1.6)[number % 3] * (1 + number / 400)
            record_load(row, WorkerLoad(2, 0, 8, 1.0), ms(1))
        rng = random.Random(box)
        for _ in range(2):
            placed = choose_worker(fleet, make_request(), ms(1.1), rng)
            assert placed is not None
            placed.worker.inflight += 1
            placed.worker.prefill_ms += 66
            counts[placed.worker.name] += 1
    assert max(counts.values()) < 0.4 * counts.total()
