"""Gossip: what boxes tell each other, and what they make of it.

Bytes a round are bounded whatever the number of boxes: the rows of the own failure
domain and a sample of the others' go along, and of the evidence only what is news.
"""

import random

from ..ids import BoxId
from ..ids import Incarnation
from ..ids import Millis
from ..peers.messages import Exchange
from ..peers.messages import ExchangeAnswer
from ..peers.messages import MemberDigest
from ..peers.messages import Suspension
from ..tables.members import MemberRow
from ..tables.state import State
from ..tables.state import SuspendedRow
from ..utils import rendezvous
from .following import records_from
from .following import take_records
from .following import take_snapshot
from .freshness import NEVER
from .freshness import fresh_age
from .freshness import may_witness
from .freshness import prove_fresh
from .freshness import quorum_time
from .learning import changes_since
from .learning import merge_counts
from .limiting import hear_usage
from .limiting import usage_rows

MEMBERS_A_ROUND = 6
"""Rows of other boxes in one message."""

EVIDENCE_A_ROUND = 10
"""Rows of evidence in one message."""

USAGE_A_ROUND = 6
"""Rows of usage in one message."""

FORGET_MS = 600_000
"""How long a silent peer's row is kept."""

SUSPENSION_MS = 600_000
"""How long a suspension lasts that the log never confirms."""


def tell(state: State, to: Incarnation, now: Millis, rng: random.Random) -> Exchange:
    """Return what to tell a peer."""
    ticket = state.evidence_sent.get(to, 0)
    evidence, upto = changes_since(state.evidence, ticket, EVIDENCE_A_ROUND)
    state.evidence_sent[to] = upto
    usage = usage_rows(state.usage, state.identity.incarnation)
    if len(usage) > USAGE_A_ROUND:
        usage = tuple(rng.sample(usage, USAGE_A_ROUND))
    return Exchange(
        sender=own_digest(state),
        members=_sample(state, now, rng),
        leaving=tuple(sorted(state.workers.leaving)),
        evidence=evidence,
        usage=usage,
        suspended=_suspensions(state, now),
        fresh_age=fresh_age(state, now),
        witness=may_witness(state),
    )


def answer(
    state: State, asked: Exchange, now: Millis, wall: Millis, rng: random.Random
) -> ExchangeAnswer:
    """Take in what a peer tells and return the answer to it."""
    hear(state, asked, now, wall)
    records, snapshot = records_from(state, asked.sender.offset)
    told = tell(state, asked.sender.incarnation, now, rng)
    return ExchangeAnswer(told, records, snapshot)


def hear(state: State, told: Exchange, now: Millis, wall: Millis) -> None:
    """Take in what a peer tells, but for what only an answer can prove."""
    hear_member(state, told.sender, now)
    for row in told.members:
        hear_member(state, row, now)
    state.workers.leaving.update(told.leaving)
    merge_counts(state.evidence, told.evidence, wall)
    hear_usage(state.usage, told.usage, state.identity.incarnation, now)
    for suspension in told.suspended:
        _hear_suspension(state, suspension, now)


def hear_answer(
    state: State, got: ExchangeAnswer, sent: Millis, now: Millis, wall: Millis
) -> None:
    """Take in the answer to an exchange that this box began at `sent`.

    Ages in an answer count from `sent`, as the answer was made after it: a packet that
    was late can only make this box think itself older than it is.
    """
    if got.snapshot is not None:
        take_snapshot(state, got.snapshot)
    take_records(state, got.records)
    hear(state, got.told, now, wall)
    if state.config.next_offset < got.told.sender.offset:
        return
    _note_answer(state, got.told, sent)
    for row in got.told.members:
        if row.witness_age != NEVER and row.offset <= state.config.next_offset:
            _witness(state, row.box, Millis(sent - row.witness_age))
    if got.told.fresh_age != NEVER:
        prove_fresh(state, Millis(sent - got.told.fresh_age))
    prove_fresh(state, quorum_time(state, now))


def own_digest(state: State) -> MemberDigest:
    """Return this box's own row."""
    return MemberDigest(
        box=state.identity.box,
        domain=state.identity.domain,
        address=state.identity.address,
        incarnation=state.identity.incarnation,
        heartbeat=state.heartbeat,
        offset=state.config.next_offset,
        stopping=state.stopping,
        witness_age=Millis(0),
    )


def hear_member(state: State, digest: MemberDigest, now: Millis) -> None:
    """Take in a row; its heartbeat counts only if it rose."""
    if digest.box == state.identity.box:
        return
    row = state.members.rows.get(digest.box)
    if row is None or row.incarnation != digest.incarnation:
        if row is not None and digest.incarnation < row.incarnation:
            return
        state.members.rows[digest.box] = _new_row(digest, now)
        return
    if digest.heartbeat <= row.heartbeat:
        return
    row.heartbeat = digest.heartbeat
    row.heard = now
    row.address = digest.address
    row.offset = max(row.offset, digest.offset)
    row.stopping = digest.stopping


def live_members(state: State, now: Millis, suspect_ms: int) -> list[MemberRow]:
    """Return the peers heard of within `suspect_ms`."""
    return [row for row in state.members.rows.values() if now - row.heard <= suspect_ms]


def pick_peer(
    state: State, now: Millis, suspect_ms: int, rng: random.Random
) -> MemberRow | None:
    """Return a peer to exchange with: mostly a live one, at times a silent one.

    Half of the picks are in the own failure domain, where views are whole; the other
    half carry news between domains.
    """
    rows = list(state.members.rows.values())
    if not rows:
        return None
    live = [row for row in rows if now - row.heard <= suspect_ms]
    if not live or rng.random() < 0.1:
        return rng.choice(rows)
    near = [row for row in live if row.domain == state.identity.domain]
    far = [row for row in live if row.domain != state.identity.domain]
    first, second = (near, far) if rng.random() < 0.5 else (far, near)
    return rng.choice(first or second)


def forget_silent(state: State, now: Millis) -> None:
    """Drop rows of peers that were silent for long and are not listed."""
    for box, row in list(state.members.rows.items()):
        if now - row.heard > FORGET_MS and box not in state.members.listed:
            del state.members.rows[box]
    known = {row.incarnation for row in state.members.rows.values()}
    for incarnation in set(state.evidence_sent) - known:
        del state.evidence_sent[incarnation]
    for version, suspended in list(state.suspended.items()):
        if now - suspended.since > SUSPENSION_MS:
            del state.suspended[version]


def _new_row(digest: MemberDigest, now: Millis) -> MemberRow:
    return MemberRow(
        box=digest.box,
        domain=digest.domain,
        address=digest.address,
        incarnation=digest.incarnation,
        heartbeat=digest.heartbeat,
        heard=now,
        offset=digest.offset,
        stopping=digest.stopping,
    )


def _sample(state: State, now: Millis, rng: random.Random) -> tuple[MemberDigest, ...]:
    rows = list(state.members.rows.values())
    near = [row for row in rows if row.domain == state.identity.domain]
    far = [row for row in rows if row.domain != state.identity.domain]
    half = MEMBERS_A_ROUND // 2
    drawn = rng.sample(near, min(len(near), MEMBERS_A_ROUND - min(half, len(far))))
    drawn += rng.sample(far, min(len(far), MEMBERS_A_ROUND - len(drawn)))
    return tuple(_digest(row, now) for row in drawn)


def _digest(row: MemberRow, now: Millis) -> MemberDigest:
    age = NEVER if row.witnessed_at == NEVER else Millis(max(0, now - row.witnessed_at))
    return MemberDigest(
        box=row.box,
        domain=row.domain,
        address=row.address,
        incarnation=row.incarnation,
        heartbeat=row.heartbeat,
        offset=row.offset,
        stopping=row.stopping,
        witness_age=age,
    )


def _note_answer(state: State, told: Exchange, sent: Millis) -> None:
    row = state.members.rows.get(told.sender.box)
    if row is None or row.incarnation != told.sender.incarnation:
        return
    row.answered_at = max(row.answered_at, sent)
    row.offset = max(row.offset, told.sender.offset)
    if told.witness:
        row.witnessed_at = max(row.witnessed_at, sent)


def _witness(state: State, box: BoxId, at: Millis) -> None:
    row = state.members.rows.get(box)
    if row is not None:
        row.witnessed_at = max(row.witnessed_at, at)


def _suspensions(state: State, now: Millis) -> tuple[Suspension, ...]:
    return tuple(
        Suspension(version, row.rollout, row.stage, row.reason, Millis(now - row.since))
        for version, row in state.suspended.items()
    )


def _hear_suspension(state: State, told: Suspension, now: Millis) -> None:
    rollout = state.config.rollouts.get(told.rollout)
    if rollout is not None and rollout.state.value == "pulled_back":
        return
    if told.version not in state.suspended and told.age < SUSPENSION_MS:
        state.suspended[told.version] = SuspendedRow(
            told.rollout, told.stage, told.reason, Millis(now - told.age)
        )


def rank(state: State, duty: str, now: Millis, suspect_ms: int) -> int:
    """Return this box's place among the live ones for a duty that needs no lease.

    The first does it; the others wait their turn, so that it is mostly done once. A
    duty shared out like this must bear being done twice.
    """
    live = [row.box for row in live_members(state, now, suspect_ms)]
    order = rendezvous(duty, [*live, state.identity.box], len(live) + 1)
    return order.index(state.identity.box)
