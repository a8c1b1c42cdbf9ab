"""The fold of the configuration stream, which is the same function on every box.

The same records give the same tables, whatever the clock, the box or the way in which
the records arrived. The daemon ``spanshuntd`` holds these tables.
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

MAX_HISTORY_ROWS = 500
"""Number of history rows kept; older ones are only on the log."""

OUTCOME_RETENTION_RECORDS = 50_000
"""For how many records a plan's outcome is kept, to answer queries and to recognise
duplicates."""


def fold_record(config: Config, record: LogRecord) -> None:
    """Fold one record of the configuration stream into `config`.

    A record at an offset below ``config.next_offset`` was folded before and is skipped.

    Raises
    ------
    InvariantError
        If a record before this one is missing.
    """
    if record.offset < config.next_offset:
        return
    if record.offset > config.next_offset:
        detail = f"record {record.offset} given, {config.next_offset} expected"
        raise InvariantError("configuration-in-order", detail)
    match decode_record(record.data):
        case Ok(decoded):
            _apply(config, decoded, record)
        case Err(_):
            pass
    config.next_offset = Offset(record.offset + 1)


def snapshot_of(config: Config) -> Snapshot:
    """Return a snapshot of `config` with its hash."""
    return Snapshot(config=copy_config(config), hash=digest(config))


def copy_config(config: Config) -> Config:
    """Return a copy of the tables; it shares the rows, which are immutable."""
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


def verify_snapshot(snapshot: Snapshot) -> Config | None:
    """Return the configuration of a snapshot, or None if its hash does not match."""
    if digest(snapshot.config) != snapshot.hash:
        return None
    return snapshot.config


def changed_objects(
    config: Config, base: dict[ObjectKey, int]
) -> tuple[ObjectKey, ...]:
    """Return the objects whose revision differs from that in `base`."""
    return tuple(
        sorted(key for key, rev in base.items() if config.revision(key) != rev)
    )


def _apply(config: Config, decoded: Record, record: LogRecord) -> None:
    match decoded:
        case Confirm():
            _apply_confirm(config, decoded, record)
        case RolloutStep():
            _apply_step(config, decoded, record)
        case Lease():
            _apply_lease(config, decoded, record)
        case _:
            pass


def _apply_confirm(config: Config, confirm: Confirm, record: LogRecord) -> None:
    if confirm.plan in config.outcomes:
        return
    config.outcomes[confirm.plan] = record.offset
    _drop_old_outcomes(config, record.offset)
    conflicts = changed_objects(config, confirm.base)
    if conflicts:
        config.conflicts[confirm.plan] = conflicts
        _add_plan_history(config, confirm, record, accepted=False)
        return
    for change in confirm.changes:
        _apply_change(config, confirm, change, record)
        config.revisions[change.key] = record.offset
    _add_plan_history(config, confirm, record, accepted=True)


def _apply_change(
    config: Config, confirm: Confirm, change: Change, record: LogRecord
) -> None:
    match change:
        case PutService(row=service):
            config.services[ServiceId(service.name)] = service
        case PutVersion(row=version):
            config.versions[VersionId(version.name)] = version
            if version.state is VersionState.ACTIVE:
                _set_state(
                    config, VersionId(version.name), version.state, record.offset
                )
        case PutOrg(row=org):
            config.orgs[OrgId(org.name)] = org
        case StartRollout(version=name, guards=guards):
            row = RolloutRow(
                name=rollout_id(confirm.plan, name),
                version=name,
                guards=guards,
                stage=0,
                stage_since=record.at,
            )
            config.rollouts[row.name] = row
            _set_state(config, name, VersionState.ENTERING)
        case WithdrawVersion(version=name):
            _set_state(config, name, VersionState.WITHDRAWN)
            _end_rollouts(config, name, "version withdrawn by an operator")


def _apply_step(config: Config, step: RolloutStep, record: LogRecord) -> None:
    row = config.rollouts.get(step.rollout)
    if row is None or step.from_stage != row.stage:
        return
    if row.state is RolloutState.PULLED_BACK:
        return
    if step.verdict is StepVerdict.PULL_BACK:
        config.rollouts[row.name] = msgspec.structs.replace(
            row, state=RolloutState.PULLED_BACK, reason=step.reason
        )
        _set_state(config, row.version, VersionState.WITHDRAWN)
    elif row.state is RolloutState.DONE:
        return
    elif row.stage + 1 < len(row.guards.stages):
        config.rollouts[row.name] = msgspec.structs.replace(
            row, stage=row.stage + 1, stage_since=record.at
        )
    else:
        config.rollouts[row.name] = msgspec.structs.replace(
            row, state=RolloutState.DONE, reason=step.reason
        )
        _set_state(config, row.version, VersionState.ACTIVE, record.offset)
    config.revisions[ObjectKey(f"version/{row.version}")] = record.offset
    summary = f"{row.name}: {step.verdict.value}: {step.reason}"
    _add_history(
        config,
        HistoryRow(record.offset, record.at, str(step.box), summary, accepted=True),
    )


def _apply_lease(config: Config, lease: Lease, record: LogRecord) -> None:
    current = config.leases.get(lease.duty)
    if (
        current is not None
        and current.holder != lease.holder
        and record.at < current.until
    ):
        return
    is_renewal = (
        current is not None
        and current.holder == lease.holder
        and record.at < current.until
    )
    token = current.token if is_renewal and current is not None else record.offset
    config.leases[lease.duty] = LeaseRow(
        duty=lease.duty,
        holder=lease.holder,
        token=token,
        until=Millis(record.at + lease.duration),
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


def _add_plan_history(
    config: Config, confirm: Confirm, record: LogRecord, *, accepted: bool
) -> None:
    summary = "; ".join(change.describe() for change in confirm.changes)
    row = HistoryRow(record.offset, record.at, confirm.operator, summary, accepted)
    _add_history(config, row)


def _add_history(config: Config, row: HistoryRow) -> None:
    config.history.append(row)
    del config.history[:-MAX_HISTORY_ROWS]


def _drop_old_outcomes(config: Config, offset: Offset) -> None:
    oldest = offset - OUTCOME_RETENTION_RECORDS
    for plan, outcome_offset in list(config.outcomes.items()):
        if outcome_offset >= oldest:
            break
        del config.outcomes[plan]
        config.conflicts.pop(plan, None)
