"""Duties that some box must do: roll-out steps, snapshots.

Neither needs a lease. A step is taken by the fold only in the stage it was judged in,
and a snapshot says the same whoever makes it; so a duty done twice costs an append.
The live boxes' ranks keep that rare.
"""

from result import Err
from result import Ok

from .appender import Appender
from .bill_reader import BillReader
from .ids import Millis
from .ids import RolloutId
from .logs import log_event
from .parts import Parts
from .records import RolloutStep
from .records import StepVerdict
from .records import Stream
from .systems.fold import snapshot_of
from .systems.following import is_snapshot_due
from .systems.freshness import is_fresh
from .systems.gossip import duty_rank
from .systems.guarding import due_steps
from .tables.state import SuspendedRow

TURN_MS = 2_000
"""How long a box waits for each box that ranks before it."""


class Duties:
    """Judges roll-outs and makes snapshots.

    Parameters
    ----------
    parts : Parts
        What the parts of the daemon share.
    appender, bill_reader
        The other parts that it works with.
    """

    def __init__(
        self,
        parts: Parts,
        appender: Appender,
        bill_reader: BillReader,
    ) -> None:
        self._parts = parts
        self._state, self._clock = parts.state, parts.clock
        self._appender = appender
        self._bill_reader = bill_reader
        self._due_since: dict[str, Millis] = {}

    async def judge_rollouts(self) -> None:
        """Make the steps that roll-outs should make now.

        A pull-back holds on this box at once and spreads by gossip, so that it needs
        no log; the record makes it last.
        """
        state = self._state
        due: set[str] = set()
        for step in due_steps(
            state.config,
            state.evidence,
            state.suspended,
            state.identity.box,
            self._clock.wall(),
        ):
            if step.verdict is StepVerdict.PULL_BACK:
                self._suspend(step)
            duty = f"rollout/{step.rollout}/{step.from_stage}/{step.verdict.value}"
            due.add(duty)
            if self._is_my_turn(duty):
                await self._append_step(step)
        for duty in [duty for duty in self._due_since if duty.startswith("rollout/")]:
            if duty not in due:
                del self._due_since[duty]

    async def make_snapshot(self) -> None:
        """Put a snapshot on the log when one is due."""
        if not is_snapshot_due(self._state):
            self._due_since.pop("snapshot", None)
            return
        if not self._is_my_turn("snapshot") or not self._is_fresh():
            return
        snapshot = snapshot_of(self._state.config)
        match await self._appender.append_now(Stream.CONFIG, snapshot):
            case Ok(offset):
                self._state.snapshot_offset = snapshot.config.next_offset
                log_event("INFO", "snapshot on the log", offset=offset)
            case Err(fault):
                log_event("WARNING", "snapshot not appended", fault=fault.detail)

    async def make_bill_snapshot(self) -> None:
        """Put the fold of the bills on the log when it is due.

        The first box by rank alone reads the stream for this.
        """
        if self._place("bill snapshot") > 0:
            return
        if (await self._bill_reader.catch_up()).is_err():
            return
        snapshot = self._bill_reader.snapshot_due()
        if snapshot is None:
            return
        if (await self._appender.append_now(Stream.BILLS, snapshot)).is_ok():
            self._bill_reader.note_snapshot(snapshot)
            log_event("INFO", "bills folded", offset=snapshot.fold.next_offset)

    async def _append_step(self, step: RolloutStep) -> None:
        match await self._appender.append_now(Stream.CONFIG, step):
            case Ok(_):
                self._parts.metrics.count(f"rollout.{step.verdict.value}")
                log_event(
                    "INFO",
                    f"roll-out {step.verdict.value}",
                    rollout=step.rollout,
                    reason=step.reason,
                )
            case Err(fault):
                log_event("WARNING", "roll-out step not appended", fault=fault.detail)

    def _suspend(self, step: RolloutStep) -> None:
        rollout = self._state.config.rollouts[RolloutId(step.rollout)]
        if rollout.version in self._state.suspended:
            return
        self._state.suspended[rollout.version] = SuspendedRow(
            rollout.name, step.from_stage, step.reason, self._clock.now()
        )
        log_event("WARNING", "version suspended", version=rollout.version)

    def _is_my_turn(self, duty: str) -> bool:
        now = self._clock.now()
        since = self._due_since.setdefault(duty, now)
        return now - since >= self._place(duty) * TURN_MS

    def _place(self, duty: str) -> int:
        suspect_ms = self._parts.settings.timing.suspect_ms
        return duty_rank(self._state, duty, self._clock.now(), suspect_ms)

    def _is_fresh(self) -> bool:
        bound = self._parts.settings.timing.fresh_ms
        return is_fresh(self._state, self._clock.now(), bound)
