"""The fold of the configuration stream: the same function on every box.

Given the same records it gives the same tables, whatever the clock, the box or the way
in which the records came.
"""

import msgspec
from result import Err
from result import Ok

from ..changes import Change
from ..changes import PutOrg
from ..changes import PutService
from ..changes import PutVersion
from ..changes import StartRollout
from ..changes import WithdrawVersion
from ..changes import rollout_id
from ..exceptions import InvariantError
from ..ids import Millis
from ..ids import ObjectKey
from ..ids import Offset
from ..ids import OrgId
from ..ids import ServiceId
from ..ids import VersionId
from ..records import Confirm
from ..records import Lease
from ..records import LogRecord
from ..records import Record
from ..records import RolloutStep
from ..records import Snapshot
from ..records import StepVerdict
from ..records import decode_record
from ..tables.config import Config
from ..tables.config import HistoryRow
from ..tables.config import LeaseRow
from ..tables.config import RolloutRow
from ..tables.config import RolloutState
from ..tables.config import VersionState
from ..utils import digest

HISTORY_ROWS = 500
"""Rows of history kept; older ones are only on the log."""

OUTCOME_OFFSETS = 50_000
"""How long, in records, a plan's outcome is kept to answer and to fold doubles."""


def fold_record(config: Config, record: LogRecord) -> None:
    """Fold one record of the configuration stream into `config`.

    A record at an offset below ``config.next_offset`` was folded before and is passed
    over. One above it means that records are missing.

    Raises
    ------
    InvariantError
        If a record is missing before this one.
    """
    if record.offset < config.next_offset:
        return
    if record.offset > config.next_offset:
        detail = f"record {record.offset} folded onto {config.next_offset}"
        raise InvariantError("configuration-in-order", detail)
    match decode_record(record.data):
        case Ok(known):
            _apply(config, known, record)
        case Err(_):
            pass
    config.next_offset = Offset(record.offset + 1)


def snapshot_of(config: Config) -> Snapshot:
    """Return a snapshot of `config` with its hash."""
    return Snapshot(config=clone(config), hash=digest(config))


def clone(config: Config) -> Config:
    """Return a copy of the tables; the rows themselves never change."""
    return Config(
        next_offset=config.next_offset,
        services=dict(config.services),
        versions=dict(config.versions),
        orgs=dict(config.orgs),
        rollouts=dict(config.rollouts),
        leases=dict(config.leases),
        revisions=dict(config.revisions),
        outcomes=dict(config.outcomes),
        conflicts=dict(config.conflicts),
        history=list(config.history),
    )


def verified(snapshot: Snapshot) -> Config | None:
    """Return the snapshot's configuration, None if its hash does not fit."""
    if digest(snapshot.config) != snapshot.hash:
        return None
    return snapshot.config


def moved(config: Config, base: dict[ObjectKey, int]) -> tuple[ObjectKey, ...]:
    """Return the objects whose revision is no longer that of `base`."""
    return tuple(
        sorted(key for key, rev in base.items() if config.revision(key) != rev)
    )


def _apply(config: Config, record: Record, at: LogRecord) -> None:
    match record:
        case Confirm():
            _apply_confirm(config, record, at)
        case RolloutStep():
            _apply_step(config, record, at)
        case Lease():
            _apply_lease(config, record, at)
        case _:
            pass


def _apply_confirm(config: Config, record: Confirm, at: LogRecord) -> None:
    if record.plan in config.outcomes:
        return
    config.outcomes[record.plan] = at.offset
    _forget_outcomes(config, at.offset)
    conflicts = moved(config, record.base)
    if conflicts:
        config.conflicts[record.plan] = conflicts
        _remember(config, record, at, accepted=False)
        return
    for change in record.changes:
        _apply_change(config, record, change, at)
        config.revisions[change.key] = at.offset
    _remember(config, record, at, accepted=True)


def _apply_change(
    config: Config, record: Confirm, change: Change, at: LogRecord
) -> None:
    match change:
        case PutService(row=service):
            config.services[ServiceId(service.name)] = service
        case PutVersion(row=version):
            config.versions[VersionId(version.name)] = version
            if version.state is VersionState.ACTIVE:
                _set_state(config, VersionId(version.name), version.state, at.offset)
        case PutOrg(row=org):
            config.orgs[OrgId(org.name)] = org
        case StartRollout(version=name, guards=guards):
            row = RolloutRow(
                name=rollout_id(record.plan, name),
                version=name,
                guards=guards,
                stage=0,
                stage_since=at.at,
            )
            config.rollouts[row.name] = row
            _set_state(config, name, VersionState.ENTERING)
        case WithdrawVersion(version=name):
            _set_state(config, name, VersionState.WITHDRAWN)
            _end_rollouts(config, name, "version withdrawn by an operator")


def _apply_step(config: Config, record: RolloutStep, at: LogRecord) -> None:
    row = config.rollouts.get(record.rollout)
    if row is None or record.from_stage != row.stage:
        return
    if row.state is RolloutState.PULLED_BACK:
        return
    if record.verdict is StepVerdict.PULL_BACK:
        config.rollouts[row.name] = msgspec.structs.replace(
            row, state=RolloutState.PULLED_BACK, reason=record.reason
        )
        _set_state(config, row.version, VersionState.WITHDRAWN)
    elif row.state is RolloutState.DONE:
        return
    elif row.stage + 1 < len(row.guards.stages):
        config.rollouts[row.name] = msgspec.structs.replace(
            row, stage=row.stage + 1, stage_since=at.at
        )
    else:
        config.rollouts[row.name] = msgspec.structs.replace(
            row, state=RolloutState.DONE, reason=record.reason
        )
        _set_state(config, row.version, VersionState.ACTIVE, at.offset)
    config.revisions[ObjectKey(f"version/{row.version}")] = at.offset
    summary = f"{row.name}: {record.verdict.value}: {record.reason}"
    _add_history(
        config, HistoryRow(at.offset, at.at, str(record.box), summary, accepted=True)
    )


def _apply_lease(config: Config, record: Lease, at: LogRecord) -> None:
    held = config.leases.get(record.duty)
    if held is not None and held.holder != record.holder and at.at < held.until:
        return
    renewed = held is not None and held.holder == record.holder and at.at < held.until
    token = held.token if renewed and held is not None else at.offset
    config.leases[record.duty] = LeaseRow(
        duty=record.duty,
        holder=record.holder,
        token=token,
        until=Millis(at.at + record.duration),
    )


def _set_state(
    config: Config, name: VersionId, state: VersionState, since: Offset | None = None
) -> None:
    row = config.versions.get(name)
    if row is None:
        return
    config.versions[name] = msgspec.structs.replace(
        row, state=state, since=row.since if since is None else since
    )


def _end_rollouts(config: Config, name: VersionId, reason: str) -> None:
    for row in list(config.rollouts.values()):
        if row.version == name and row.state is not RolloutState.PULLED_BACK:
            config.rollouts[row.name] = msgspec.structs.replace(
                row, state=RolloutState.PULLED_BACK, reason=reason
            )


def _remember(
    config: Config, record: Confirm, at: LogRecord, *, accepted: bool
) -> None:
    summary = "; ".join(change.describe() for change in record.changes)
    row = HistoryRow(at.offset, at.at, record.operator, summary, accepted)
    _add_history(config, row)


def _add_history(config: Config, row: HistoryRow) -> None:
    config.history.append(row)
    del config.history[:-HISTORY_ROWS]


def _forget_outcomes(config: Config, offset: Offset) -> None:
    oldest = offset - OUTCOME_OFFSETS
    for plan, at in list(config.outcomes.items()):
        if at >= oldest:
            break
        del config.outcomes[plan]
        config.conflicts.pop(plan, None)
