"""Shares of organisations in logs, metrics and the operators' view."""

import collections

from loguru import logger

from share_builders import LARGE
from share_builders import ROOM
from share_builders import SMALL
from share_builders import WEB
from share_builders import WORK_MS
from share_builders import arrive
from share_builders import make_boxes
from share_builders import overload
from spanshunt.fleet_report import fleet_view
from spanshunt.ids import Millis
from spanshunt.ids import OrgId
from spanshunt.share_lines import MAX_LINES
from spanshunt.share_lines import log_share_events
from spanshunt.share_lines import share_fields
from spanshunt.share_lines import share_lines
from spanshunt.systems.demand import record_arrival
from spanshunt.systems.repeats import RepeatBounds
from spanshunt.systems.sharing import update_shares


def test_shares_are_logged_and_counted_within_bounds() -> None:
    (fleet,) = make_boxes(1)
    for number in range(40):
        arrive(fleet, OrgId(f"org-{number}"), 10.0, 5_000, 5_000)
    events = update_shares(fleet, Millis(5_000))
    assert len(events) == 40
    lines: list[str] = []
    counted: collections.Counter[str] = collections.Counter()
    sink = logger.add(lambda message: lines.append(str(message)), format="{message}")
    log_share_events(events, lambda name: counted.update([name]))
    logger.remove(sink)
    assert lines == ["share began\n"] * MAX_LINES
    assert counted == {"shares.began": 40}


def test_shares_are_shown_to_operators() -> None:
    (fleet,) = make_boxes(1)
    assert share_lines(fleet) == ""
    overload(fleet)
    record_arrival(fleet, WEB, SMALL, WORK_MS, Millis(5_000))
    assert share_fields(fleet, WEB, SMALL, Millis(5_000)) == {}
    shown = share_fields(fleet, WEB, LARGE, Millis(5_040))
    assert shown["share_slots"] == ROOM
    assert shown["demand_age_ms"] == 40
    page = share_lines(fleet)
    assert f'spanshunt_room_slots{{service="web"}} {ROOM:.2f}\n' in page
    assert 'spanshunt_share_in_force{service="web",org="large"} 1\n' in page
    view = fleet_view(fleet, RepeatBounds(), "", Millis(5_040)).shares
    assert [(row.org, row.share, row.in_force) for row in view] == [(LARGE, ROOM, True)]
