"""Application of configuration records and snapshots from the log or a peer.

This module works on `State`, the tables of the daemon ``spanshuntd``.
:mod:`.following_workers` belongs to another process.
"""

import typing as t

from result import Ok

from ..ids import Offset
from ..records import LogRecord
from ..records import Snapshot
from ..records import decode_record
from ..tables.state import State
from .fold import copy_config
from .fold import fold_record
from .fold import snapshot_of
from .fold import verify_snapshot
from .invariants import check_offset

SNAPSHOT_INTERVAL_RECORDS = 500
"""Number of records after which a snapshot is appended to the log."""


def apply_records(state: State, records: t.Iterable[LogRecord]) -> int:
    """Fold the records that follow the held ones and return how many were new.

    Records that were folded before are skipped; the records after a gap are left for
    later.
    """
    count = 0
    for record in records:
        held = state.config.next_offset
        if record.offset < held:
            continue
        if record.offset > held:
            break
        fold_record(state.config, record)
        check_offset(held, state.config.next_offset)
        _record_snapshot_offset(state, record)
        state.recent_records.append(record)
        count += 1
    if count:
        _drop_withdrawn_suspensions(state)
    return count


def apply_snapshot(state: State, snapshot: Snapshot) -> bool:
    """Apply a snapshot if it is newer than the tables and its hash matches."""
    config = verify_snapshot(snapshot)
    if config is None or config.next_offset <= state.config.next_offset:
        return False
    check_offset(state.config.next_offset, config.next_offset)
    state.config = copy_config(config)
    state.recent_records.clear()
    state.snapshot_offset = max(state.snapshot_offset, config.next_offset)
    _drop_withdrawn_suspensions(state)
    return True


def records_from(
    state: State, start: Offset
) -> tuple[tuple[LogRecord, ...], Snapshot | None]:
    """Return what a peer at `start` lacks: records, or a snapshot if they are gone."""
    if start >= state.config.next_offset:
        return (), None
    if state.recent_records and state.recent_records[0].offset <= start:
        records = tuple(
            record for record in state.recent_records if record.offset >= start
        )
        return records, None
    return (), snapshot_of(state.config)


def newest_snapshot(records: t.Iterable[LogRecord]) -> Snapshot | None:
    """Return the newest snapshot among `records`, or None if there is none."""
    best: Snapshot | None = None
    for record in records:
        match decode_record(record.data):
            case Ok(Snapshot() as snapshot):
                if (
                    best is None
                    or snapshot.config.next_offset > best.config.next_offset
                ):
                    best = snapshot
            case _:
                pass
    return best


def is_snapshot_due(state: State) -> bool:
    """Return whether a snapshot should be appended to the log."""
    return state.config.next_offset - state.snapshot_offset >= SNAPSHOT_INTERVAL_RECORDS


def _record_snapshot_offset(state: State, record: LogRecord) -> None:
    match decode_record(record.data):
        case Ok(Snapshot(config=config)):
            state.snapshot_offset = max(state.snapshot_offset, config.next_offset)
        case _:
            pass


def _drop_withdrawn_suspensions(state: State) -> None:
    """Drop suspensions that a folded record has made needless.

    A suspension keeps requests from a version until the record that pulls back its
    roll-out is folded. That record withdraws the version, so it still gets no requests.
    """
    for version, row in list(state.suspended.items()):
        rollout = state.config.rollouts.get(row.rollout)
        if rollout is not None and rollout.state.value == "pulled_back":
            del state.suspended[version]
