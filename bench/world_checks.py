"""What must hold in the small world, besides what the program asserts itself."""

import typing as t

from spanshunt.ids import RequestId
from spanshunt.records import Bills
from spanshunt.records import decode_record
from spanshunt.systems.fold import snapshot_of
from spanshunt.systems.invariants import check
from spanshunt.systems.journaling import fold_bills
from spanshunt.tables.billing import BillFold
from spanshunt.tables.state import State

from .world_boxes import Accepted
from .world_log import FakeLog

FRESH_MS = 4_000
"""Age from which on a box must not work on its configuration, in ms."""

IN_FORCE = "in-force-within-the-bound"
SAME_FOLD = "same-configuration-at-one-offset"


def check_in_force(accepted: t.Iterable[Accepted], now: int, state: State) -> None:
    """Check that a box works on nothing older than what was accepted a while ago."""
    for item in accepted:
        if now - item.at <= FRESH_MS:
            continue
        detail = f"{state.identity.box} works at {state.config.next_offset}"
        check(
            IN_FORCE,
            state.config.next_offset > item.offset,
            f"{detail}, {item.offset} was accepted",
        )


def check_same_fold(hashes: dict[int, str], state: State) -> None:
    """Check that boxes at one offset hold one configuration."""
    offset = state.config.next_offset
    found = snapshot_of(state.config).hash
    held = hashes.setdefault(offset, found)
    check(SAME_FOLD, held == found, f"two folds at {offset}")


def check_bills(log: FakeLog, answered: dict[RequestId, set[str]]) -> int:
    """Check that each request is billed once; return the bills lost with all holders.

    Parameters
    ----------
    log : FakeLog
        Holds the bills.
    answered : dict
        For each request answered, the boxes that hold its bill and live.
    """
    fold = BillFold()
    counted: dict[RequestId, int] = {}
    for record in log.streams["bills"].records:
        bills = decode_record(record.data).unwrap()
        if isinstance(bills, Bills):
            for entry in fold_bills(fold, bills):
                counted[entry.request] = counted.get(entry.request, 0) + 1
    for request, count in counted.items():
        check("one-bill", count == 1, f"{request} billed {count} times")
    lost = 0
    for request, holders in answered.items():
        if holders:
            check("one-bill", request in counted, f"{request} is not billed")
        lost += not holders and request not in counted
    return lost


def check_same(states: t.Iterable[State]) -> None:
    """Check that all boxes ended at one configuration."""
    offsets = {state.config.next_offset for state in states}
    check(SAME_FOLD, len(offsets) == 1, f"boxes ended at {offsets}")
