"""Roll-outs: which version answers a request, and how orders and verdicts are applied.

The entering version is the one that the order names. The leaving version stands for all
other versions of the service; in a `VersionRule`, for those that no earlier order
barred. ``fleet.workers.leaving`` is something else: workers that are about to stop.

The version of a session is decided by a hash and the age of the order, so all boxes
agree without exchanging messages: callers' connections move between boxes, and only the
box that answered a session knows which version it ran on. `exposing` computes the share
of the entering version, and `judging` decides whether that version is good.
"""

import enum
import typing as t

from ..ids import Millis
from ..ids import Offset
from ..ids import ServiceId
from ..ids import VersionId
from ..ids import WorkerId
from ..tables.fleet import Fleet
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import Verdict
from ..utils import unit_hash
from .eras import MAX_COPY_AGE_MS
from .eras import era_of
from .eras import has_same_store_offset
from .eras import store_offset_of
from .exposing import entering_share
from .load_trials import workers_in_turn
from .tallies import has_excess_faults
from .watching import can_fall_back
from .withholding import withheld_versions


class Reason(enum.Enum):
    """Why a request is answered by a version.

    A request is selected ("drawn") if the hash of its session, or of the request if it
    has none, is below the entering version's share at the time. The verdict in
    `HAS_VERDICT` is a success or a rollback; the version that answers tells which.
    """

    NO_ORDER = "no order"
    HAS_VERDICT = "judged"
    TURNED_BAD = "turned bad after its success"
    FAILED_ON_ENTERING = "failed on the entering version"
    BEGUN_ON_LEAVING = "begun on the leaving version"
    SESSIONS_NOT_YET = "sessions stay for now"
    SELECTED = "drawn"
    NOT_SELECTED = "not drawn"
    NO_WORKERS = "drawn, but no worker is known"


class VersionRule(t.NamedTuple):
    """The version that must answer, or the versions that must not.

    Attributes
    ----------
    only : str or None
        The version that must answer; None for any.
    never : frozenset of str
        Versions that must not answer.
    reason : Reason
        Why the rule holds, for logs.
    share : float
        Share of such requests that enters at this time, for logs.
    preferred : frozenset of str
        Workers to choose from if they can take the request; empty for any.
    """

    only: VersionId | None = None
    never: frozenset[VersionId] = frozenset()
    reason: Reason = Reason.NO_ORDER
    share: float = 0.0
    preferred: frozenset[WorkerId] = frozenset()

    def admits(self, versions: t.Collection[VersionId]) -> bool:
        """Return whether a worker that serves `versions` may answer."""
        if self.only is not None:
            return self.only in versions
        return self.never.isdisjoint(versions)


def version_rule_for(
    fleet: Fleet,
    service: ServiceId,
    session: str,
    request_id: str,
    now: Millis,
    route: str = "",
    failed: t.Collection[VersionId] = (),
    tried: t.Collection[WorkerId] = (),
    begun_on: VersionId | None = None,
    *,
    last: bool = False,
) -> VersionRule:
    """Return which versions may answer a request.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    service : str
        The service.
    session : str
        The caller's session; empty for none.
    request_id : str
        Hashed in place of the session if the request has none.
    now : int
        The time, in ms.
    route : str
        The route, for the evidence against the entering version on it.
    failed : collection of str
        Versions that already failed this request. An entering version among them is not
        tried again, so a bad version costs a request one attempt. A request of a
        session does try it again, on another worker, unless the evidence speaks against
        the version: the session may be on it and must then stay.
    tried : collection of str
        Workers that were already tried for this request.
    begun_on : str or None
        The version of the events that the caller already has; None for no event. An
        answer that the leaving version began stays on it while the order runs, as it is
        lost if the entering version fails it.
    last : bool
        Whether no other attempt is left after this one. An answer that has begun then
        is not resumed on an entering version that already failed it.
    """
    row = fleet.rollouts.rows.get(service)
    if row is None:
        return VersionRule(never=_withheld(fleet, service, frozenset(), now))
    share = entering_share(fleet, row, now, in_session=bool(session))
    entering = VersionRule(only=row.version, share=share)
    barred = row.barred | {row.version}
    withheld = _withheld(fleet, service, barred, now)
    leaving = VersionRule(never=barred | withheld, share=share)
    if row.verdict is Verdict.SUCCEEDED:
        if can_fall_back(fleet, row, now):
            return leaving._replace(reason=Reason.TURNED_BAD)
        return entering._replace(reason=Reason.HAS_VERDICT)
    if row.verdict is Verdict.ROLLED_BACK:
        return leaving._replace(reason=Reason.HAS_VERDICT)
    if (
        begun_on is not None
        and not entering.admits({begun_on})
        and _has_reachable_workers(fleet, service, leaving, now)
    ):
        return leaving._replace(reason=Reason.BEGUN_ON_LEAVING)
    if row.version in failed and not (
        session
        and not (last and begun_on is not None)
        and not has_excess_faults(row, route)
        and _has_workers(fleet, service, row.version, tried)
    ):
        return leaving._replace(reason=Reason.FAILED_ON_ENTERING)
    if session and share <= 0.0:
        return leaving._replace(reason=Reason.SESSIONS_NOT_YET)
    if unit_hash(str(row.order), session or request_id) >= share:
        return leaving._replace(reason=Reason.NOT_SELECTED)
    if not _has_workers(fleet, service, row.version):
        return leaving._replace(reason=Reason.NO_WORKERS)
    preferred = workers_in_turn(fleet, row, request_id, tried, share, now)
    return entering._replace(reason=Reason.SELECTED, preferred=preferred)


def apply_order(
    fleet: Fleet,
    service: ServiceId,
    version: VersionId,
    order: Offset,
    duration_ms: Millis,
    began: Millis,
    *,
    seen: bool = True,
) -> bool:
    """Apply an order; return whether it is new.

    `seen` tells whether the box that reports the start time saw the order arrive.
    """
    known = fleet.rollouts.rows.get(service)
    if known is not None and _is_same_order(fleet, known, version, duration_ms, order):
        known.order, known.newest_order = (
            min(known.order, order),
            max(known.newest_order, order),
        )
        apply_start_time(known, began, seen=seen)
        return False
    if known is not None and _is_older_order(known, order):
        return False
    row = RolloutRow(
        service, version, order, duration_ms, began, seen, newest_order=order
    )
    if known is not None:
        row.before = known.newest_order
        was_rolled_back = known.verdict is Verdict.ROLLED_BACK
        bar_versions(
            row, known.barred | ({known.version} if was_rolled_back else set())
        )
    fleet.rollouts.rows[service] = row
    return True


def _is_same_order(
    fleet: Fleet,
    known: RolloutRow,
    version: VersionId,
    duration_ms: Millis,
    order: Offset,
) -> bool:
    """Return whether an order is the known one, possibly written again.

    An operator's tool repeats a write without an answer, which may have been done or be
    done later. So an order of the same content is the known one, whether that runs or
    has succeeded; only after a roll-back it is a new one.

    The order keeps the offset at which it was first known, since sessions are selected
    by a hash of that offset. A restore of the store from a copy begins an era, in which
    offsets go back and are assigned again. An order that began less than
    `MAX_COPY_AGE_MS` before the restore may be missing from the copy; operators' tools
    then write it again, at another offset. An older order is in every copy and keeps
    its offset, so after a restore an order of the same content at another offset is a
    different one.
    """
    if order in (known.order, known.newest_order):
        return True
    is_same_content = version == known.version and duration_ms == known.duration_ms
    if not is_same_content:
        return False
    if era_of(order) == era_of(known.newest_order):
        return known.verdict is not Verdict.ROLLED_BACK
    oldest = fleet.store.era_began - MAX_COPY_AGE_MS
    return has_same_store_offset(order, known.newest_order) or known.began >= oldest


def _is_older_order(known: RolloutRow, order: Offset) -> bool:
    """Return whether an order came before the known one.

    If the restored store lacks the known order, an earlier order in it has a later era,
    but its offset is at most that of the order before the known one.
    """
    if era_of(order) <= era_of(known.newest_order):
        return order < known.newest_order
    return known.before >= 0 and store_offset_of(order) <= store_offset_of(known.before)


def apply_start_time(row: RolloutRow, began: Millis, *, seen: bool) -> None:
    """Apply a reported start time of an order; a box that saw the order arrive wins.

    A report of a box that saw the order is late by the time that it was on its way and
    never early, so the earliest one counts. Any other start time is derived from a wall
    clock and may be early by the error of that clock, and sessions would then move
    before half of the order's time is over. It counts only until a box that saw the
    order reports; of several such times, the earliest one counts as well.
    """
    if seen and not row.seen:
        row.began, row.seen = began, True
    elif seen == row.seen:
        row.began = min(row.began, began)


def bar_versions(row: RolloutRow, versions: t.Collection[VersionId]) -> None:
    """Bar versions that were rolled back before this order from further requests."""
    row.barred = row.barred.union(versions) - {row.version}


def apply_verdict(
    row: RolloutRow, verdict: Verdict, reason: str, now: Millis, *, recorded: bool
) -> bool:
    """Apply a verdict; return whether it is new.

    A verdict recorded in the store wins over one that a box only reached itself.
    """
    if verdict is Verdict.RUNNING:
        return False
    changed = row.verdict is not verdict and (
        row.verdict is Verdict.RUNNING or (recorded and not row.recorded)
    )
    if changed:
        row.verdict, row.reason, row.judged_at = verdict, reason, now
    if row.verdict is verdict:
        row.recorded = row.recorded or recorded
    return changed


def _withheld(
    fleet: Fleet, service: ServiceId, barred: frozenset[VersionId], now: Millis
) -> frozenset[VersionId]:
    """Return the versions that get nothing until their order may be known.

    None if only their workers could answer, as `barred` versions may not.
    """
    if not fleet.rollouts.withheld:
        return frozenset()
    withheld = withheld_versions(fleet, service, now)
    others = VersionRule(never=withheld | barred)
    if withheld and not _has_reachable_workers(fleet, service, others, now):
        return frozenset()
    return withheld


def _has_workers(
    fleet: Fleet,
    service: ServiceId,
    version: VersionId,
    tried: t.Collection[WorkerId] = (),
) -> bool:
    return any(
        row.name not in fleet.workers.leaving and row.name not in tried
        for row in fleet.workers.find_capable(service, version)
    )


def _has_reachable_workers(
    fleet: Fleet, service: ServiceId, rule: VersionRule, now: Millis
) -> bool:
    """Return whether any worker that a rule admits stays and is not ejected."""
    return any(
        rule.admits(row.versions)
        and row.name not in fleet.workers.leaving
        and row.ejected_until <= now
        for row in fleet.workers.find_capable(service, None)
    )
