"""Roll-outs: which version answers a request, and what orders and verdicts change.

Sessions decide the version by a hash and the order's age, so that all boxes agree
without a message: callers' connections change boxes, and what a session ran on is known
to the box that answered alone. How large a part enters is worked out in `exposing`,
whether the version is good in `judging`.
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
from .eras import COPY_AGE_MS
from .eras import era_of
from .eras import is_same_offset
from .eras import offset_of
from .exposing import entering_share
from .tallies import is_version_suspected
from .watching import can_fall_back


class Reason(enum.Enum):
    """What decided which version answers a request."""

    NO_ORDER = "no order"
    JUDGED = "judged"
    TURNED_BAD = "turned bad after its success"
    FAILED_ON_ENTERING = "failed on the entering version"
    SESSIONS_NOT_YET = "sessions stay for now"
    IN_SHARE = "drawn"
    NOT_IN_SHARE = "not drawn"
    NO_WORKERS = "drawn, but no worker is known"


class VersionRule(t.NamedTuple):
    """The version that must answer, or those that must not.

    Attributes
    ----------
    only : str or None
        The one that must; None for any.
    never : frozenset of str
        Those that must not.
    reason : Reason
        What decided it, for logs.
    share : float
        The share of such requests that enters, as it was then, for logs.
    """

    only: VersionId | None = None
    never: frozenset[VersionId] = frozenset()
    reason: Reason = Reason.NO_ORDER
    share: float = 0.0

    def admits(self, versions: t.Collection[VersionId]) -> bool:
        """Tell whether a worker that holds `versions` may answer."""
        if self.only is not None:
            return self.only in versions
        return self.never.isdisjoint(versions)


def version_rule_for(
    fleet: Fleet,
    service: ServiceId,
    session: str,
    draw: str,
    now: Millis,
    route: str = "",
    failed: t.Collection[VersionId] = (),
    tried: t.Collection[WorkerId] = (),
) -> VersionRule:
    """Return which version a request must run on.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    service : str
        The service.
    session : str
        The caller's session; empty for none.
    draw : str
        What decides for a request without a session: its id.
    now : int
        The time, in ms.
    route : str
        The route, for what is known of the entering version there.
    failed : collection of str
        Versions that failed this request already: one that is entering is not asked
        again, so that a bad one costs its callers one attempt. In a session it is,
        at another worker, while its answers don't speak against it: the session may be
        on it, and then must stay.
    tried : collection of str
        Workers that had this request already.
    """
    row = fleet.rollouts.rows.get(service)
    if row is None:
        return VersionRule()
    share = entering_share(fleet, row, now, in_session=bool(session))
    entering = VersionRule(only=row.version, share=share)
    leaving = VersionRule(never=row.barred | {row.version}, share=share)
    if row.verdict is Verdict.SUCCEEDED:
        if can_fall_back(fleet, row, now):
            return leaving._replace(reason=Reason.TURNED_BAD)
        return entering._replace(reason=Reason.JUDGED)
    if row.verdict is Verdict.ROLLED_BACK:
        return leaving._replace(reason=Reason.JUDGED)
    if row.version in failed and not (
        session
        and not is_version_suspected(row, route)
        and _has_workers(fleet, service, row.version, tried)
    ):
        return leaving._replace(reason=Reason.FAILED_ON_ENTERING)
    if session and share <= 0.0:
        return leaving._replace(reason=Reason.SESSIONS_NOT_YET)
    if unit_hash(str(row.order), session or draw) >= share:
        return leaving._replace(reason=Reason.NOT_IN_SHARE)
    if not _has_workers(fleet, service, row.version):
        return leaving._replace(reason=Reason.NO_WORKERS)
    return entering._replace(reason=Reason.IN_SHARE)


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
    """Take an order in; return whether it is new.

    `seen` tells whether whoever says when it began saw it come.
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
    """Tell whether an order is the known one, perhaps written again after a copy.

    It keeps the place under which it was known first: sessions are drawn by that. One
    that is older than any copy stands where it did; what stands elsewhere is another.
    """
    if order in (known.order, known.newest_order):
        return True
    alike = version == known.version and duration_ms == known.duration_ms
    if not alike or era_of(order) == era_of(known.newest_order):
        return False
    oldest = fleet.store.era_began - COPY_AGE_MS
    return is_same_offset(order, known.newest_order) or known.began >= oldest


def _is_older_order(known: RolloutRow, order: Offset) -> bool:
    """Tell whether an order came before the known one.

    One that a copy still holds, where the known one is lost, has a later era but an
    offset at which an earlier order stood.
    """
    if era_of(order) <= era_of(known.newest_order):
        return order < known.newest_order
    return known.before >= 0 and offset_of(order) <= offset_of(known.before)


def apply_start_time(row: RolloutRow, began: Millis, *, seen: bool) -> None:
    """Take in when an order began, by someone's word; who saw it come knows better.

    Between words of one kind the earlier counts: news are late, never early. A time of
    day is early by as much as it is wrong, and sessions would move before the half.
    """
    if seen and not row.seen:
        row.began, row.seen = began, True
    elif seen == row.seen:
        row.began = min(row.began, began)


def bar_versions(row: RolloutRow, versions: t.Collection[VersionId]) -> None:
    """Give nothing more to versions that were taken back before this order."""
    row.barred = row.barred.union(versions) - {row.version}


def apply_verdict(
    row: RolloutRow, verdict: Verdict, reason: str, now: Millis, *, recorded: bool
) -> bool:
    """Take a verdict in; return whether it is new.

    A verdict that stands in the store wins over one that a box only reached itself.
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
