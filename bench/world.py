"""A few boxes as plain tables, with small fakes of the log and of the wire.

Every decision is the program's own function; only carrying out is faked, so that boxes
can crash, pause and be cut off, answers can be lost after the effect, appends can take
effect late, and messages can come late or never. Used by ``bench.soak`` and by the
hypothesis state machine in the tests.
"""

import random
import typing as t

from spanshunt.ids import BoxId
from spanshunt.ids import Incarnation
from spanshunt.ids import Micros
from spanshunt.ids import Millis
from spanshunt.ids import Offset
from spanshunt.ids import OrgId
from spanshunt.ids import RequestId
from spanshunt.ids import ServiceId
from spanshunt.ids import VersionId
from spanshunt.intents import Intent
from spanshunt.peers.messages import Exchange
from spanshunt.peers.messages import ExchangeAnswer
from spanshunt.records import Bills
from spanshunt.records import Claim
from spanshunt.records import Claims
from spanshunt.records import Confirm
from spanshunt.records import JournalPart
from spanshunt.records import Release
from spanshunt.records import Usage
from spanshunt.systems.choice import choose
from spanshunt.systems.choice_rows import VersionRequest
from spanshunt.systems.claiming import fold_claims
from spanshunt.systems.claiming import may_send
from spanshunt.systems.claiming import skip_trimmed_records
from spanshunt.systems.claiming import winning_claim
from spanshunt.systems.fold import snapshot_of
from spanshunt.systems.following import apply_records
from spanshunt.systems.following import apply_snapshot
from spanshunt.systems.following import newest_snapshot
from spanshunt.systems.freshness import is_accepted
from spanshunt.systems.freshness import is_fresh
from spanshunt.systems.freshness import record_fresh_proof
from spanshunt.systems.gossip import answer_exchange
from spanshunt.systems.gossip import apply_exchange_answer
from spanshunt.systems.gossip import build_exchange
from spanshunt.systems.gossip import live_members
from spanshunt.systems.invariants import check
from spanshunt.systems.invariants import check_claim
from spanshunt.systems.invariants import check_version
from spanshunt.systems.journaling import first_open_seq
from spanshunt.systems.journaling import next_batch
from spanshunt.systems.journaling import orphan_batch
from spanshunt.systems.journaling import record_bill
from spanshunt.systems.journaling import settle_bills
from spanshunt.systems.journaling import store_copies
from spanshunt.systems.planner import make_plan
from spanshunt.tables.claims import CallState
from spanshunt.tables.claims import OwnCall
from spanshunt.tables.preferences import PreferenceCache

from .world_boxes import BASE_INTENTS
from .world_boxes import Accepted
from .world_boxes import Box
from .world_boxes import Message
from .world_boxes import over_the_wire
from .world_checks import FRESH_MS
from .world_checks import check_bills
from .world_checks import check_in_force
from .world_checks import check_same
from .world_checks import check_same_fold
from .world_log import FakeLog

SUSPECT_MS = 3_000
ORPHAN_MS = 10_000
COPIES = 2
DOMAINS = ("a", "b", "c")
SERVICE = ServiceId("s")
ORG = OrgId("org")
BACKEND = ServiceId("ledger")


class World:
    """Boxes, log and wire, with a clock of their own.

    Parameters
    ----------
    boxes : int
        How many.
    seed : int
        Seed of all draws.
    """

    def __init__(self, boxes: int = 4, seed: int = 0) -> None:
        self.now = 1_000
        self.rng = random.Random(seed)
        self.log = FakeLog()
        self.names = [f"box{index}" for index in range(boxes)]
        self.runs = 0
        self.boxes = {name: self._new_box(name) for name in self.names}
        self.cuts: set[frozenset[str]] = set()
        self.no_log: set[str] = set()
        self.wire: list[Message] = []
        self.accepted: list[Accepted] = []
        self.pending: list[tuple[str, str, int]] = []
        self.answered: dict[RequestId, set[str]] = {}
        self.sends: dict[str, int] = {}
        self.told_not_run: set[RequestId] = set()
        self.hashes: dict[int, str] = {}
        self.numbers = 0
        self.events: dict[str, int] = {}
        self._base()

    # What operators do.

    def confirm(self, box: str, intent: Intent, fate: str = "ok") -> None:
        """Plan an intent at a box and confirm it there, all in one go."""
        state = self.boxes[box].state
        plan = make_plan(state.config, (intent,))
        if plan.is_err() or not self._reaches_log(box):
            return
        made = plan.unwrap()
        record = Confirm(made.name, made.changes, made.base, "ana", Millis(self.now))
        self.log.append("config", record, self.now, fate)
        self.pending.append((box, made.name, self.now))
        self._count("confirms")

    def tell_operators(self) -> None:
        """Tell operators of confirmed plans that are accepted by now."""
        left = []
        for box, plan, at in self.pending:
            state = self.boxes[box].state
            offset = state.config.outcomes.get(t.cast("t.Any", plan))
            if offset is None or not is_accepted(state, offset, Millis(self.now)):
                if self.now - at < 20_000:
                    left.append((box, plan, at))
                continue
            self.accepted.append(Accepted(offset, self.now))
            self._count("accepted")
        self.pending = left

    # What boxes do.

    def follow(self, box: str) -> None:
        """Let a box read the log."""
        if not self._reaches_log(box):
            return
        state = self.boxes[box].state
        stream = self.log.streams["config"]
        records = stream.read(state.config.next_offset)
        if records is None:
            snapshot = newest_snapshot(stream.records)
            if snapshot is None or snapshot.config.next_offset < stream.first:
                return
            apply_snapshot(state, snapshot)
            records = stream.read(state.config.next_offset) or []
        apply_records(state, records)
        if state.config.next_offset >= stream.next:
            record_fresh_proof(state, Millis(self.now))
        check_same_fold(self.hashes, state)

    def follow_claims(self, box: str) -> None:
        """Let a box read the claims."""
        if not self._reaches_log(box):
            return
        table = self.boxes[box].state.claims
        stream = self.log.streams["claims"]
        skip_trimmed_records(table, Offset(stream.first))
        owed: list[Release] = []
        for record in stream.read(table.next_offset) or []:
            owed.extend(fold_claims(table, record))
        table.caught_up = True
        if owed:
            self.log.append("claims", Claims((), tuple(owed)), self.now, "ok")

    def ask(self, one: str, other: str) -> None:
        """Let a box begin an exchange with another; the answer is under way."""
        if one == other or not self._reaches(one, other):
            return
        asker, asked = self.boxes[one].state, self.boxes[other].state
        asker.heartbeat += 1
        now = Millis(self.now)
        told: Exchange = build_exchange(
            asker, asked.identity.incarnation, now, self.rng
        )
        told = over_the_wire(told, Exchange)
        got = answer_exchange(asked, told, now, now, self.rng)
        got = over_the_wire(got, ExchangeAnswer)
        self.wire.append(Message(one, got, self.now, asker.identity.incarnation))

    def deliver(self, index: int = 0) -> None:
        """Deliver an answer that is under way, any of them."""
        if not self.wire:
            return
        message = self.wire.pop(index % len(self.wire))
        box = self.boxes[message.to]
        if box.paused or box.state.identity.incarnation != message.run:
            return
        now = Millis(self.now)
        apply_exchange_answer(box.state, message.got, Millis(message.sent), now, now)
        check_same_fold(self.hashes, box.state)

    def request(self, box: str) -> None:
        """Let a caller ask a box for an answer."""
        one = self.boxes[box]
        state = one.state
        if one.paused or not is_fresh(state, Millis(self.now), FRESH_MS):
            self._count("refused not ready")
            return
        if ORG not in state.config.orgs:
            return
        asked = VersionRequest(SERVICE, t.cast("t.Any", "default"), ORG, draw_key="x")
        memory: t.Any = PreferenceCache()
        choice = choose(
            state.config,
            state.evidence.pool,
            asked,
            lambda _version: True,
            memory,
            Millis(self.now),
        )
        if choice.is_err():
            return
        check_version(state.config, ORG, choice.unwrap().version)
        check_in_force(self.accepted, self.now, state)
        self._bill(box, choice.unwrap().version)

    def append_bills(self, box: str, fate: str = "ok") -> None:
        """Let a box append its open bills, and those of owners that are gone."""
        one = self.boxes[box]
        state = one.state
        if not self._reaches_log(box):
            return
        for batch in (
            next_batch(state.journal),
            orphan_batch(state.journal, self._gone(box)),
        ):
            if batch is None:
                continue
            if self.log.append("bills", batch, self.now, fate) is not None:
                settle_bills(state.journal, batch)

    def call(self, box: str, key: str, fate: str = "ok") -> None:
        """Let a caller make a keyed call at a box: the claim is appended."""
        one = self.boxes[box]
        table = one.state.claims
        if one.paused or not table.caught_up or winning_claim(table, key) is not None:
            return
        if key in one.waiting:
            return
        request = self._new_request()
        table.own[request] = OwnCall(key)
        claim = Claim(key, one.state.identity.incarnation, request, Millis(self.now))
        one.waiting[key] = request
        if not self._reaches_log(box) or fate == "refused":
            self._give_up(one, key)
            return
        self.log.append("claims", Claims((claim,)), self.now, fate)

    def run_calls(self, box: str, patient: bool = True) -> None:
        """Let a box run the calls whose claims it read back; give up on the rest."""
        one = self.boxes[box]
        if one.paused:
            return
        table = one.state.claims
        for key, request in list(one.waiting.items()):
            if may_send(table, key, request):
                check_claim(table, key, request)
                check("not-run-is-true", request not in self.told_not_run, request)
                table.own[request].state = CallState.SENT
                self.sends[key] = self.sends.get(key, 0) + 1
                check("at-most-once", self.sends[key] == 1, f"{key} ran twice")
                del one.waiting[key]
                self._count("keyed calls run")
            elif not patient:
                self._give_up(one, key)

    # What fails.

    def crash(self, box: str) -> None:
        """Lose a box with all that it held; a new run starts in its place."""
        state = self.boxes[box].state
        for entry in state.journal.open.values():
            holders = self.answered.get(entry.request)
            if holders is not None:
                holders.discard(state.identity.incarnation)
        for copies in state.journal.copies.values():
            for entry in copies.entries.values():
                self.answered.get(entry.request, set()).discard(
                    state.identity.incarnation
                )
        self.boxes[box] = self._new_box(box)
        self._count("crashes")

    def pause(self, box: str) -> None:
        """Stop a box's process for a while."""
        self.boxes[box].paused = True
        self._count("pauses")

    def resume(self, box: str) -> None:
        """Let a box's process go on, not knowing that it was paused."""
        self.boxes[box].paused = False

    def cut(self, one: str, other: str) -> None:
        """Cut the wire between two boxes."""
        self.cuts.add(frozenset((one, other)))
        self._count("cuts")

    def heal(self) -> None:
        """Mend all wires, wake all boxes, bring the log back."""
        self.cuts.clear()
        self.no_log.clear()
        self.log.down = False
        for box in self.boxes.values():
            box.paused = False

    def snapshot(self, box: str) -> None:
        """Let a box put a snapshot on the log."""
        if self._reaches_log(box):
            record = snapshot_of(self.boxes[box].state.config)
            self.log.append("config", record, self.now, "ok")

    def drop_tail(self) -> None:
        """Let the log drop what is old, but never the newest snapshot."""
        stream = self.log.streams["config"]
        places = [
            index
            for index, record in enumerate(stream.records)
            if b'"type":"snapshot"' in record.data
        ]
        if places:
            snapshot = newest_snapshot(stream.records)
            reach = snapshot.config.next_offset if snapshot else stream.first
            keep = stream.next - min(reach, stream.first + places[-1])
            stream.drop(keep)
            self._count("tails dropped")

    # How it ends.

    def settle_down(self) -> None:
        """Mend everything and let the boxes work until nothing is left to do."""
        self.heal()
        self.log.take_late(self.now)
        for _ in range(40):
            self.now += 500
            self._work_once()
            for name in self.names:
                self.append_bills(name)
        self.now += ORPHAN_MS * 2
        for name in self.names:
            self.append_bills(name)
        lost = check_bills(self.log, self.answered)
        self._count("bills lost with all their holders", lost)
        check_same(box.state for box in self.boxes.values())

    # Small helpers.

    def _bill(self, box: str, version: VersionId) -> None:
        """Bill a request; it is answered once its bill is held where it must be."""
        state = self.boxes[box].state
        request = self._new_request()
        usage = (Usage(version, 1, 1, Micros(1)),)
        entry = record_bill(
            state.journal, request, ORG, SERVICE, Millis(self.now), usage
        )
        now = Millis(self.now)
        live = {row.box for row in live_members(state, now, SUSPECT_MS)}
        targets = sorted(live)[:COPIES]
        holders = {str(state.identity.incarnation)}
        for name in targets:
            other = self.boxes[name]
            if self._reaches(box, name):
                store_copies(
                    other.state.journal,
                    state.identity.incarnation,
                    (entry,),
                    first_open_seq(state.journal),
                    now,
                )
                holders.add(other.state.identity.incarnation)
        if len(holders) <= len(targets) or not targets:
            part = Bills((JournalPart(state.identity.incarnation, (entry,)),))
            if not self._reaches_log(box):
                return
            self.log.append("bills", part, self.now, "ok")
            settle_bills(state.journal, part)
        self.answered[request] = holders
        self._count("answers")

    def _gone(self, box: str) -> t.Any:
        state = self.boxes[box].state

        def gone(incarnation: Incarnation, heard: Millis) -> bool:
            if self.now - heard < ORPHAN_MS:
                return False
            return not any(
                row.incarnation == incarnation and self.now - row.heard < ORPHAN_MS
                for row in state.members.rows.values()
            )

        return gone

    def _give_up(self, one: Box, key: str) -> None:
        request = one.waiting.pop(key)
        own = one.state.claims.own.get(request)
        if own is not None:
            own.state = CallState.GIVEN_UP
        self.told_not_run.add(request)
        self._count("keyed calls not run")

    def _reaches(self, one: str, other: str) -> bool:
        if self.boxes[one].paused or self.boxes[other].paused:
            return False
        return frozenset((one, other)) not in self.cuts

    def _reaches_log(self, box: str) -> bool:
        if self.boxes[box].paused or box in self.no_log:
            return False
        return not self.log.down

    def _new_box(self, name: str) -> Box:
        self.runs += 1
        domain = DOMAINS[self.names.index(name) % len(DOMAINS)]
        box = Box(name, domain, self.runs, self.now)
        listed = frozenset(BoxId(other) for other in self.names)
        box.state.members.listed = listed
        return box

    def _work_once(self) -> None:
        """Let every box read the log and hear every other one."""
        for name in self.names:
            self.follow(name)
            self.follow_claims(name)
            for other in self.names:
                self.ask(name, other)
            while self.wire:
                self.deliver()

    def _new_request(self) -> RequestId:
        self.numbers += 1
        return RequestId(f"r{self.numbers}")

    def _count(self, event: str, count: int = 1) -> None:
        if count:
            self.events[event] = self.events.get(event, 0) + count

    def _base(self) -> None:
        first = self.names[0]
        for intent in BASE_INTENTS:
            self.follow(first)
            self.confirm(first, intent)
        self._work_once()
