"""Verdicts on roll-outs, recorded where the operator reads them."""

import typing as t

import msgspec
from result import Err

from ..ids import Millis
from ..ids import Offset
from ..ids import ServiceId
from ..logs import log_event
from ..rollout_lines import log_evidence
from ..rollout_lines import log_held
from ..rollout_lines import log_load_trial
from ..rollout_lines import log_turned_bad
from ..rollout_lines import log_verdict
from ..systems.blaming import summarise_evidence
from ..systems.eras import has_same_store_offset
from ..systems.exposing import fleet_request_rate
from ..systems.exposing import postpone_full_phase
from ..systems.exposing import raise_extra_share
from ..systems.judging import Judgement
from ..systems.judging import judge
from ..systems.judging import postpone_suspected
from ..systems.judging import record_delay
from ..systems.judging import update_suspicion
from ..systems.judging import update_verdict
from ..systems.load_trials import update_load_trial
from ..systems.ramping import apply_verdict
from ..systems.succeeding import hears_enough_peers
from ..tables.rollouts import RecordedSuspicion
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import Verdict
from . import wire
from .recorded_status import take_status
from .store import StoreProblem
from .store_reader import StoreReader

EVIDENCE_LINE_MS = 2_000
"""How often a box tells in its log what a verdict would rest on, in ms: 12 lines in an
order of 24 s."""

LOOK_MS = 1_000
"""How often a box that does not hear most of the others reads recorded verdicts, in ms:
a version must get nothing more soon after it is known to be bad."""


class Recorder:
    """Records verdicts, each under the condition that nothing was recorded meanwhile.

    Parameters
    ----------
    reader : StoreReader
        The store, the tables and the time.
    count : callable
        Adds one to the counter of that name.
    """

    def __init__(self, reader: StoreReader, count: t.Callable[[str], None]) -> None:
        self._fleet = reader.fleet
        self._clock = reader.clock
        self._store = reader.store
        self._count = count
        self._told: dict[ServiceId, Millis] = {}
        self._looked_at = Millis(0)

    async def tick(self) -> None:
        """Judge each roll-out and record what is due."""
        now = self._clock.now()
        for row in list(self._fleet.rollouts.rows.values()):
            if row.verdict is Verdict.RUNNING:
                self._adapt_steps(row, now)
            before, was_bad = row.verdict, bool(row.turned_bad_reason)
            due = update_verdict(self._fleet, row, now)
            if row.verdict is not before:
                log_verdict(row, "own evidence")
            if row.turned_bad_reason and not was_bad:
                self._count("rollouts.turned_bad")
                log_turned_bad(row, "own evidence")
            self._tell_evidence(row, now, verdict_due=due is not None)
            if due is not None:
                await self._record(row, due)
            elif row.verdict is Verdict.RUNNING:
                await self._announce(row)
                await self._record_suspicion(row)
                await self._look(row)

    def _adapt_steps(self, row: RolloutRow, now: Millis) -> None:
        """Fit the steps of a running order to the requests that come."""
        raise_extra_share(
            self._fleet, row, fleet_request_rate(self._fleet, row, now), now
        )
        if postpone_full_phase(self._fleet, row, now):
            log_held(row, now, "the bound on requests")
        if postpone_suspected(self._fleet, row, now):
            log_held(row, now, "suspected")
        if update_load_trial(self._fleet, row, now):
            log_load_trial(row, now)

    def _tell_evidence(
        self, row: RolloutRow, now: Millis, *, verdict_due: bool
    ) -> None:
        """Log the evidence now and then while an order runs, and at its verdict."""
        told = self._told.get(row.service, row.began)
        running = row.verdict is Verdict.RUNNING
        if verdict_due or (running and now >= told + EVIDENCE_LINE_MS):
            self._told[row.service] = now
            log_evidence(row, summarise_evidence(self._fleet, row, now), now)

    async def _announce(self, row: RolloutRow) -> None:
        """Record once that a roll-out runs and since when."""
        if row.announced:
            return
        now = self._clock.now()
        due_at = max(row.began, self._fleet.store.era_began)
        if now < due_at + record_delay(self._fleet, now):
            return
        row.announced = await self._record(row, Judgement(Verdict.RUNNING))

    async def _record_suspicion(self, row: RolloutRow) -> None:
        """Record how far answers speak against a version, for boxes that start."""
        against = update_suspicion(self._fleet, row, self._clock.now())
        if against is None:
            return
        row.suspected_at = Millis(-1)
        if await self._record(row, Judgement(Verdict.RUNNING), against):
            log_event(
                "INFO",
                "suspicion recorded",
                service=row.service,
                version=row.version,
                route=against.route,
                finding=against.finding.value,
                log_evidence=round(against.log_evidence, 1),
            )

    async def _look(self, row: RolloutRow) -> None:
        """Read what others recorded, where they can't tell: this box is cut off."""
        now = self._clock.now()
        if hears_enough_peers(self._fleet, row, now) or now < self._looked_at + LOOK_MS:
            return
        self._looked_at = now
        listing = await self._store.newest(wire.STATUS_TOPIC)
        if isinstance(listing, Err):
            log_event("WARNING", "verdicts not read", detail=listing.err_value.detail)
            return
        take_status(self._fleet, listing.ok_value, self._clock)

    async def _record(
        self,
        row: RolloutRow,
        judgement: Judgement,
        against: RecordedSuspicion | None = None,
    ) -> bool:
        """Record a state unless one of this order stands; tell whether one does.

        A stronger suspicion `against` the version replaces a running one.
        """
        listing = await self._store.newest(wire.STATUS_TOPIC)
        if isinstance(listing, Err):
            return False
        known = listing.ok_value
        take_status(self._fleet, known, self._clock)
        if not self._is_wanted(row, judgement):
            return True
        key = wire.ROLLOUT_PREFIX + row.service
        stands = any(_is_of(item, key, row) for item in known.items)
        if judgement.verdict is Verdict.RUNNING and stands and against is None:
            return True
        now = self._clock.now()
        status = wire.RolloutStatus(
            backend=row.service,
            target_version=row.version,
            state=judgement.verdict.value,
            order=row.order,
            began=self._clock.wall() - (now - row.began),
            barred=tuple(sorted(row.barred)),
            against=wire.encode_against(against or row.recorded_suspicion),
        )
        value = msgspec.json.encode(status)
        done = await self._store.append(wire.STATUS_TOPIC, key, value, known.end)
        if isinstance(done, Err):
            fault = done.err_value
            if fault.problem is not StoreProblem.CONDITION:
                log_event("WARNING", "verdict not recorded", detail=fault.detail)
            return False
        if against is not None:
            row.recorded_suspicion = against
            return True
        log_event(
            "INFO",
            "verdict recorded",
            service=row.service,
            version=row.version,
            verdict=judgement.verdict.value,
            reason=judgement.reason,
        )
        self._count(f"rollouts.{judgement.verdict.value}")
        if row.turned_bad_reason:
            row.rollback_recorded = True
        elif apply_verdict(
            row, judgement.verdict, judgement.reason, now, recorded=True
        ):
            log_verdict(row, "own record")
        return True

    def _is_wanted(self, row: RolloutRow, judgement: Judgement) -> bool:
        """Tell whether a state is still to be recorded, by what is known just before.

        Answers came while the store was read, and success can't be taken back.
        """
        if row.turned_bad_reason:
            return not row.rollback_recorded
        if judgement.verdict is Verdict.SUCCEEDED and not row.recorded:
            now = self._clock.now()
            return judge(self._fleet, row, now).verdict is Verdict.SUCCEEDED
        return not row.recorded


def _is_of(item: wire.StoreItem, key: str, row: RolloutRow) -> bool:
    decoded = wire.decode(item.value, wire.RolloutStatus)
    if isinstance(decoded, Err) or item.key_file != key:
        return False
    status = decoded.ok_value
    alike = has_same_store_offset(Offset(status.order), row.order)
    return status.target_version == row.version and alike
