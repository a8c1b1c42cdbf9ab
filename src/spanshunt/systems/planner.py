"""The planner: makes a plan from intents without changing the configuration.

A plan holds the revision of each object that it changes or was derived from. If one of
them has another revision when the plan is to be applied, the plan conflicts; so
planning also collects the keys of the objects that it only reads, as `read_keys`.

This module works on the configuration of the daemon ``spanshuntd``.
"""

import itertools
import typing as t

import msgspec
from result import Err
from result import Ok
from result import Result

from ..changes import Change
from ..changes import Plan
from ..changes import PutOrg
from ..changes import PutService
from ..changes import PutVersion
from ..changes import StartRollout
from ..changes import WithdrawVersion
from ..changes import service_key
from ..ids import ClassId
from ..ids import Micros
from ..ids import ObjectKey
from ..ids import OrgId
from ..ids import PlanId
from ..ids import ServiceId
from ..ids import VersionId
from ..intents import AllowVersions
from ..intents import DeclareOrg
from ..intents import DeclareService
from ..intents import DeclareVersion
from ..intents import DisallowVersions
from ..intents import EnterVersion
from ..intents import Intent
from ..intents import LeaveVersion
from ..intents import SetCredentials
from ..intents import SetLimits
from ..intents import SetQuality
from ..tables.config import Config
from ..tables.config import GuardRails
from ..tables.config import OrgRow
from ..tables.config import ServiceKind
from ..tables.config import ServiceRow
from ..tables.config import VersionRow
from ..tables.config import VersionState
from ..utils import digest
from ..utils import hash_secret
from .fold import copy_config


class IntentProblem(msgspec.Struct, frozen=True):
    """Why an intent can't be planned: the field at fault, and what is wrong with it."""

    field: str
    problem: str


Planned = Result[list[Change], IntentProblem]


def make_plan(
    config: Config, intents: tuple[Intent, ...]
) -> Result[Plan, IntentProblem]:
    """Plan `intents`, in order, on top of `config`."""
    draft = copy_config(config)
    changes: list[Change] = []
    read_keys: set[ObjectKey] = set()
    for index, intent in enumerate(intents):
        match _plan_one(draft, intent, read_keys):
            case Ok(more):
                changes.extend(more)
            case Err(problem):
                field = f"$.intents[{index}].{problem.field}"
                return Err(IntentProblem(field, problem.problem))
    base_keys = read_keys | {change.key for change in changes}
    base = {key: int(config.revision(key)) for key in sorted(base_keys)}
    planned = tuple(changes)
    name = PlanId(digest([planned, base]))
    return Ok(
        Plan(name=name, changes=planned, base=base, notes=_plan_notes(draft, planned))
    )


def _plan_one(draft: Config, intent: Intent, read_keys: set[ObjectKey]) -> Planned:
    match intent:
        case DeclareService():
            row = ServiceRow(
                name=intent.service,
                kind=intent.kind,
                classes=intent.classes,
                repeatable=intent.repeatable,
                call_price=Micros(intent.call_price),
            )
            return _put_service(draft, row)
        case DeclareVersion():
            return _declare_version(draft, intent, read_keys)
        case DeclareOrg():
            return _declare_org(draft, intent)
        case AllowVersions() | DisallowVersions():
            return _change_allowed(draft, intent)
        case SetCredentials() | SetLimits():
            return _change_org(draft, intent)
        case SetQuality():
            return _set_quality(draft, intent, read_keys)
        case EnterVersion():
            return _enter_version(draft, intent, read_keys)
        case LeaveVersion():
            return _withdraw_version(draft, intent)


def _put_service(draft: Config, row: ServiceRow) -> Planned:
    if row.kind is ServiceKind.MODEL and not row.classes:
        return Err(IntentProblem("classes", "a model service needs at least one class"))
    draft.services[ServiceId(row.name)] = row
    return Ok([PutService(row)])


def _declare_version(
    draft: Config, intent: DeclareVersion, read_keys: set[ObjectKey]
) -> Planned:
    service = draft.services.get(ServiceId(intent.service))
    read_keys.add(service_key(ServiceId(intent.service)))
    if service is None or service.kind is not ServiceKind.MODEL:
        return Err(
            _unknown_name("service", intent.service, _model_service_names(draft))
        )
    known = draft.versions.get(VersionId(intent.version))
    if known is not None and known.state is VersionState.WITHDRAWN:
        problem = f"{intent.version} was withdrawn; declare it under a new version"
        return Err(IntentProblem("version", problem))
    state = VersionState.ACTIVE if intent.active else VersionState.DECLARED
    if known is not None and not intent.active:
        state = known.state
    row = VersionRow(
        name=intent.version,
        service=intent.service,
        prompt_price=Micros(intent.prompt_price),
        output_price=Micros(intent.output_price),
        state=state,
    )
    draft.versions[VersionId(row.name)] = row
    return Ok([PutVersion(row)])


def _declare_org(draft: Config, intent: DeclareOrg) -> Planned:
    known = draft.orgs.get(OrgId(intent.org))
    hashes = tuple(hash_secret(secret) for secret in intent.credentials)
    row = OrgRow(
        name=intent.org,
        credentials=hashes or (known.credentials if known else ()),
        allowed=intent.allowed,
        limits=intent.limits,
        targets=known.targets if known else {},
    )
    return _put_org(draft, row, "allowed")


def _change_allowed(draft: Config, intent: AllowVersions | DisallowVersions) -> Planned:
    row = draft.orgs.get(OrgId(intent.org))
    if row is None:
        return Err(_unknown_name("org", intent.org, list(draft.orgs)))
    if isinstance(intent, AllowVersions):
        added = tuple(name for name in intent.allowed if name not in row.allowed)
        allowed = row.allowed + added
    else:
        absent = [name for name in intent.allowed if name not in row.allowed]
        if absent:
            return Err(_unknown_name("allowed", absent[0], list(row.allowed)))
        allowed = tuple(name for name in row.allowed if name not in intent.allowed)
    return _put_org(draft, msgspec.structs.replace(row, allowed=allowed), "allowed")


def _change_org(draft: Config, intent: SetCredentials | SetLimits) -> Planned:
    row = draft.orgs.get(OrgId(intent.org))
    if row is None:
        return Err(_unknown_name("org", intent.org, list(draft.orgs)))
    if isinstance(intent, SetLimits):
        return _put_org(
            draft, msgspec.structs.replace(row, limits=intent.limits), "limits"
        )
    hashes = tuple(hash_secret(secret) for secret in intent.credentials)
    return _put_org(
        draft, msgspec.structs.replace(row, credentials=hashes), "credentials"
    )


def _put_org(draft: Config, row: OrgRow, field: str) -> Planned:
    for name in row.allowed:
        if not _is_known(draft, name):
            known = sorted({*draft.services, *draft.versions, *_model_names(draft)})
            return Err(_unknown_name(field, name, known))
    used = {
        secret
        for other in draft.orgs.values()
        if other.name != row.name
        for secret in other.credentials
    }
    if used & set(row.credentials):
        problem = "a credential is already in use; choose another one"
        return Err(IntentProblem("credentials", problem))
    draft.orgs[OrgId(row.name)] = row
    return Ok([PutOrg(row)])


def _set_quality(
    draft: Config, intent: SetQuality, read_keys: set[ObjectKey]
) -> Planned:
    service = draft.services.get(ServiceId(intent.service))
    if service is None:
        return Err(_unknown_name("service", intent.service, list(draft.services)))
    names = [row.name for row in service.classes]
    if service.request_class(ClassId(intent.request_class)) is None:
        return Err(_unknown_name("request_class", intent.request_class, names))
    if not intent.org:
        classes = tuple(
            msgspec.structs.replace(row, target=intent.target)
            if row.name == intent.request_class
            else row
            for row in service.classes
        )
        return _put_service(draft, msgspec.structs.replace(service, classes=classes))
    read_keys.add(service_key(ServiceId(intent.service)))
    row = draft.orgs.get(OrgId(intent.org))
    if row is None:
        return Err(_unknown_name("org", intent.org, list(draft.orgs)))
    path = f"{intent.service}/{intent.request_class}"
    targets = {**row.targets, path: intent.target}
    return _put_org(draft, msgspec.structs.replace(row, targets=targets), "org")


def _enter_version(
    draft: Config, intent: EnterVersion, read_keys: set[ObjectKey]
) -> Planned:
    """Plan the start of the roll-out of a declared version, which is then entering."""
    version = draft.versions.get(VersionId(intent.version))
    if version is None:
        return Err(_unknown_name("version", intent.version, list(draft.versions)))
    if version.state is not VersionState.DECLARED:
        problem = (
            f"{version.name} is {version.state.value}; only a declared one can enter"
        )
        return Err(IntentProblem("version", problem))
    read_keys.add(service_key(ServiceId(version.service)))
    guards = intent.guards or GuardRails()
    problem = _guard_problem(guards)
    if problem:
        return Err(IntentProblem("guards.stages", problem))
    entering = msgspec.structs.replace(version, state=VersionState.ENTERING)
    draft.versions[VersionId(version.name)] = entering
    return Ok([StartRollout(VersionId(version.name), guards)])


def _withdraw_version(draft: Config, intent: LeaveVersion) -> Planned:
    """Plan the withdrawal of a version; the intent's name calls it leaving."""
    version = draft.versions.get(VersionId(intent.version))
    if version is None:
        return Err(_unknown_name("version", intent.version, list(draft.versions)))
    if version.state is VersionState.WITHDRAWN:
        return Err(IntentProblem("version", f"{version.name} is already withdrawn"))
    withdrawn = msgspec.structs.replace(version, state=VersionState.WITHDRAWN)
    draft.versions[VersionId(version.name)] = withdrawn
    return Ok([WithdrawVersion(VersionId(version.name))])


def _guard_problem(guards: GuardRails) -> str:
    stages = guards.stages
    rising = all(low < high for low, high in itertools.pairwise(stages))
    if not stages or not rising or stages[0] <= 0 or stages[-1] != 1.0:
        return f"{list(stages)}: shares must increase from above 0 to 1"
    return ""


def _plan_notes(draft: Config, changes: tuple[Change, ...]) -> tuple[str, ...]:
    lines = [change.describe() for change in changes]
    for change in changes:
        if isinstance(change, WithdrawVersion):
            lines.extend(_withdrawal_warnings(draft, change.version))
        if isinstance(change, StartRollout):
            lines.append(_min_duration_note(change.guards))
    return tuple(lines)


def _withdrawal_warnings(draft: Config, name: VersionId) -> list[str]:
    gone = draft.versions[name]
    left = [
        row
        for row in draft.versions_of(ServiceId(gone.service))
        if row.state is VersionState.ACTIVE
    ]
    stranded = [
        org.name
        for org in draft.orgs.values()
        if org.allows_version(gone) and not any(org.allows_version(row) for row in left)
    ]
    if not stranded:
        return []
    names = ", ".join(sorted(stranded))
    return [f"warning: left with no active version of {gone.service}: {names}"]


def _min_duration_note(guards: GuardRails) -> str:
    seconds = len(guards.stages) * guards.stage_ms / 1000
    ratings = len(guards.stages) * guards.stage_ratings
    return f"a successful roll-out takes at least {seconds:.0f} s, {ratings} ratings"


def _is_known(draft: Config, name: str) -> bool:
    return (
        name in draft.services or name in draft.versions or name in _model_names(draft)
    )


def _model_names(draft: Config) -> set[str]:
    return {str(row.model) for row in draft.versions.values()}


def _model_service_names(draft: Config) -> list[str]:
    return [
        row.name for row in draft.services.values() if row.kind is ServiceKind.MODEL
    ]


def _unknown_name(field: str, value: str, known: t.Iterable[str]) -> IntentProblem:
    allowed = ", ".join(sorted(known)) or "none is declared yet"
    return IntentProblem(field, f"{value!r} is not known; allowed: {allowed}")
