"""What operators write that comes twice, late, or out of order."""

import json
import typing as t

import pytest

from fleet_builders import KEY
from fleet_builders import OTHER_KEY
from fleet_builders import config
from fleet_builders import make_fleet
from fleet_builders import without_key
from spanshunt.clock import Clock
from spanshunt.ids import DomainId
from spanshunt.ids import Fingerprint
from spanshunt.ids import Millis
from spanshunt.ids import Offset
from spanshunt.ids import ServiceId
from spanshunt.platform.record_taking import RecordTaker
from spanshunt.platform.store_reader import StoreReader
from spanshunt.systems.evacuating import is_evacuated
from spanshunt.tables.fleet import Fleet

EMPTIED = "evacuate/south"
SOUTH = DomainId("south")
CONTENT = Fingerprint("c1")
RELEASE = f"release/{CONTENT}"
ORDER = "rollout/writer"

Write = tuple[str, dict[str, t.Any] | None, int]
"""A record: its key, what it says (None takes it away), and its offset."""


def taken(*writes: Write) -> Fleet:
    """Return a box's tables after it took records in the given order."""
    fleet = make_fleet()
    take(fleet, *writes)
    return fleet


def take(fleet: Fleet, *writes: Write) -> None:
    reader = StoreReader(fleet, Clock(), t.cast(t.Any, None))
    taker = RecordTaker(reader, lambda: None)
    for key, body, offset in writes:
        value = b"" if body is None else json.dumps(body).encode()
        taker.take(key, value, Offset(offset), seen=True)


def rollout(version: str) -> dict[str, t.Any]:
    return {"Backend": "writer", "TargetVersion": version, "DurationS": 8}


def known_keys(fleet: Fleet) -> set[str]:
    assert fleet.catalog is not None
    return set(fleet.catalog.by_credential)


class TestCatalog:
    """Routes, limits and keys, which are one record with a rising version."""

    def test_repeated_one_changes_nothing(self):
        fleet = taken(("config", config(7), 1))
        known = fleet.catalog
        take(fleet, ("config", config(7), 2))
        assert fleet.catalog is known

    @pytest.mark.parametrize("offset", [1, 9])
    def test_older_one_that_comes_late_takes_nothing_back(self, offset):
        """Guards against keys, limits and routes that were taken away and return."""
        newer = without_key(config(8, Limits={"IdleTimeoutMs": 9_000}), OTHER_KEY)
        older = config(7, Limits={"IdleTimeoutMs": 15_000})
        fleet = taken(("config", newer, 5), ("config", older, offset))
        assert fleet.catalog is not None
        assert fleet.catalog.version == 8
        assert fleet.catalog.limits.idle_timeout_ms == 9_000
        assert known_keys(fleet) == {KEY}


class TestOrder:
    """Orders to roll a version out; those of one version have a module of their own."""

    def test_older_order_that_comes_out_of_order_does_not_replace_a_newer(self):
        fleet = taken((ORDER, rollout("v3"), 9), (ORDER, rollout("v2"), 5))
        assert fleet.rollouts.rows[ServiceId("writer")].version == "v3"

    def test_order_of_another_version_that_is_done_late_is_a_new_one(self):
        fleet = taken((ORDER, rollout("v3"), 5), (ORDER, rollout("v2"), 9))
        assert fleet.rollouts.rows[ServiceId("writer")].version == "v2"


class TestEvacuation:
    """Emptying of a failure domain, and giving it back."""

    def test_repeated_one_changes_nothing(self):
        fleet = taken((EMPTIED, {}, 1), (EMPTIED, {}, 2))
        assert is_evacuated(fleet, SOUTH)
        take(fleet, (EMPTIED, None, 3), (EMPTIED, None, 4))
        assert not is_evacuated(fleet, SOUTH)

    def test_one_that_comes_out_of_order_is_ignored(self):
        fleet = taken((EMPTIED, {}, 3), (EMPTIED, None, 9), (EMPTIED, {}, 5))
        assert not is_evacuated(fleet, SOUTH)

    def test_one_that_is_done_late_is_a_new_one(self):
        fleet = taken((EMPTIED, {}, 3), (EMPTIED, None, 5), (EMPTIED, {}, 9))
        assert is_evacuated(fleet, SOUTH)


class TestRelease:
    """Release of a content that was kept back; it names the time of the word."""

    def cleared_at(self, fleet: Fleet) -> Millis:
        return fleet.suspects[CONTENT].cleared_at

    def test_repeated_one_releases_nothing_that_came_since(self):
        clock = Clock()
        at = clock.wall() - 4_000
        fleet = taken((RELEASE, {"At": at}, 1))
        before = self.cleared_at(fleet)
        take(fleet, (RELEASE, {"At": at}, 2))
        assert abs(self.cleared_at(fleet) - before) <= 50

    def test_older_one_that_comes_late_takes_nothing_back(self):
        now = Clock().wall()
        fleet = taken((RELEASE, {"At": now}, 5))
        before = self.cleared_at(fleet)
        take(fleet, (RELEASE, {"At": now - 60_000}, 9))
        assert self.cleared_at(fleet) == before
