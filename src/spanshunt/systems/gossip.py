"""Gossip: the messages that boxes send each other, and how they are applied.

The size of a message does not grow with the number of boxes: it holds a sample of the
member rows, about half of them from the box's own failure domain, and only the evidence
that is new to the peer.

This module works on `State`, the tables of the daemon ``spanshuntd``. A peer, also
called a member, is another box that runs it. `now` is a time of the monotonic clock and
`wall` one of the wall clock, by which evidence is grouped into epochs; both are in ms.
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
from .following import apply_records
from .following import apply_snapshot
from .following import records_from
from .freshness import NEVER
from .freshness import fresh_age
from .freshness import is_witness
from .freshness import quorum_time
from .freshness import record_fresh_proof
from .learning import changes_since
from .learning import merge_counts
from .limiting import merge_peer_usage
from .limiting import own_usage_rows

MEMBERS_PER_MESSAGE = 6
"""Maximum number of rows of other boxes in one message."""

EVIDENCE_PER_MESSAGE = 10
"""Maximum number of rows of evidence in one message."""

USAGE_PER_MESSAGE = 6
"""Maximum number of rows of usage in one message."""

MEMBER_RETENTION_MS = 600_000
"""How long the row of a silent peer is kept, in ms."""

MAX_SUSPENSION_MS = 600_000
"""How long a suspension lasts if no record withdraws the version, in ms."""


def build_exchange(
    state: State, peer: Incarnation, now: Millis, rng: random.Random
) -> Exchange:
    """Return the message for a peer."""
    first_change = state.evidence_sent.get(peer, 0)
    evidence, next_change = changes_since(
        state.evidence, first_change, EVIDENCE_PER_MESSAGE
    )
    state.evidence_sent[peer] = next_change
    usage = own_usage_rows(state.usage, state.identity.incarnation)
    if len(usage) > USAGE_PER_MESSAGE:
        usage = tuple(rng.sample(usage, USAGE_PER_MESSAGE))
    return Exchange(
        sender=own_digest(state),
        members=_sample_members(state, now, rng),
        leaving=tuple(sorted(state.workers.leaving)),
        evidence=evidence,
        usage=usage,
        suspended=_suspensions(state, now),
        fresh_age=fresh_age(state, now),
        witness=is_witness(state),
    )


def answer_exchange(
    state: State, received: Exchange, now: Millis, wall: Millis, rng: random.Random
) -> ExchangeAnswer:
    """Apply a peer's message and return the answer to it."""
    apply_exchange(state, received, now, wall)
    records, snapshot = records_from(state, received.sender.offset)
    message = build_exchange(state, received.sender.incarnation, now, rng)
    return ExchangeAnswer(message, records, snapshot)


def apply_exchange(state: State, message: Exchange, now: Millis, wall: Millis) -> None:
    """Apply a peer's message, except for the proofs of freshness in it.

    ``fresh_age`` and the fields on witnesses count only in an answer, which was made
    after this box's own message was sent. Another message may have been on its way for
    any time, so its ages prove nothing.
    """
    merge_member(state, message.sender, now)
    for row in message.members:
        merge_member(state, row, now)
    state.workers.leaving.update(message.leaving)
    merge_counts(state.evidence, message.evidence, wall)
    merge_peer_usage(state.usage, message.usage, state.identity.incarnation, now)
    for suspension in message.suspended:
        _apply_suspension(state, suspension, now)


def apply_exchange_answer(
    state: State, answer: ExchangeAnswer, sent: Millis, now: Millis, wall: Millis
) -> None:
    """Apply the answer to an exchange that this box began at `sent`.

    Ages in an answer count from `sent`, as the answer was made after it: a late packet
    can only make this box overestimate the age of its configuration. If this box still
    lacks records that the peer has, the answer proves nothing about its configuration.
    """
    if answer.snapshot is not None:
        apply_snapshot(state, answer.snapshot)
    apply_records(state, answer.records)
    apply_exchange(state, answer.told, now, wall)
    if state.config.next_offset < answer.told.sender.offset:
        return
    _record_answer(state, answer.told, sent)
    for row in answer.told.members:
        if row.witness_age != NEVER and row.offset <= state.config.next_offset:
            _record_witness(state, row.box, Millis(sent - row.witness_age))
    if answer.told.fresh_age != NEVER:
        record_fresh_proof(state, Millis(sent - answer.told.fresh_age))
    record_fresh_proof(state, quorum_time(state, now))


def own_digest(state: State) -> MemberDigest:
    """Return the summary of this box for peers; nothing is hashed."""
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


def merge_member(state: State, member: MemberDigest, now: Millis) -> None:
    """Merge a summary of a member into its row.

    An unknown member is added, and a later incarnation replaces the row whatever its
    heartbeat. For the known incarnation, the summary is ignored unless the heartbeat
    rose.
    """
    if member.box == state.identity.box:
        return
    row = state.members.rows.get(member.box)
    if row is None or row.incarnation != member.incarnation:
        if row is not None and member.incarnation < row.incarnation:
            return
        state.members.rows[member.box] = _new_row(member, now)
        return
    if member.heartbeat <= row.heartbeat:
        return
    row.heartbeat = member.heartbeat
    row.heard = now
    row.address = member.address
    row.offset = max(row.offset, member.offset)
    row.stopping = member.stopping


def live_members(state: State, now: Millis, suspect_ms: int) -> list[MemberRow]:
    """Return the peers heard of within the last `suspect_ms`."""
    return [row for row in state.members.rows.values() if now - row.heard <= suspect_ms]


def pick_peer(
    state: State, now: Millis, suspect_ms: int, rng: random.Random
) -> MemberRow | None:
    """Return a peer to exchange with: mostly a live one, sometimes a silent one.

    Half of the picks are in the box's own failure domain, so that boxes of a domain
    know each other fully; the other half carry news between domains.
    """
    rows = list(state.members.rows.values())
    if not rows:
        return None
    live = [row for row in rows if now - row.heard <= suspect_ms]
    if not live or rng.random() < 0.1:
        return rng.choice(rows)
    near = [row for row in live if row.domain == state.identity.domain]
    far = [row for row in live if row.domain != state.identity.domain]
    preferred, other = (near, far) if rng.random() < 0.5 else (far, near)
    return rng.choice(preferred or other)


def drop_silent_members(state: State, now: Millis) -> None:
    """Drop unlisted peers that were silent for long, and expired suspensions."""
    for box, row in list(state.members.rows.items()):
        if now - row.heard > MEMBER_RETENTION_MS and box not in state.members.listed:
            del state.members.rows[box]
    known = {row.incarnation for row in state.members.rows.values()}
    for incarnation in set(state.evidence_sent) - known:
        del state.evidence_sent[incarnation]
    for version, suspended in list(state.suspended.items()):
        if now - suspended.since > MAX_SUSPENSION_MS:
            del state.suspended[version]


def _new_row(member: MemberDigest, now: Millis) -> MemberRow:
    return MemberRow(
        box=member.box,
        domain=member.domain,
        address=member.address,
        incarnation=member.incarnation,
        heartbeat=member.heartbeat,
        heard=now,
        offset=member.offset,
        stopping=member.stopping,
    )


def _sample_members(
    state: State, now: Millis, rng: random.Random
) -> tuple[MemberDigest, ...]:
    rows = list(state.members.rows.values())
    near = [row for row in rows if row.domain == state.identity.domain]
    far = [row for row in rows if row.domain != state.identity.domain]
    half = MEMBERS_PER_MESSAGE // 2
    sample = rng.sample(near, min(len(near), MEMBERS_PER_MESSAGE - min(half, len(far))))
    sample += rng.sample(far, min(len(far), MEMBERS_PER_MESSAGE - len(sample)))
    return tuple(_member_digest(row, now) for row in sample)


def _member_digest(row: MemberRow, now: Millis) -> MemberDigest:
    age_ms = (
        NEVER if row.witnessed_at == NEVER else Millis(max(0, now - row.witnessed_at))
    )
    return MemberDigest(
        box=row.box,
        domain=row.domain,
        address=row.address,
        incarnation=row.incarnation,
        heartbeat=row.heartbeat,
        offset=row.offset,
        stopping=row.stopping,
        witness_age=age_ms,
    )


def _record_answer(state: State, message: Exchange, sent: Millis) -> None:
    row = state.members.rows.get(message.sender.box)
    if row is None or row.incarnation != message.sender.incarnation:
        return
    row.answered_at = max(row.answered_at, sent)
    row.offset = max(row.offset, message.sender.offset)
    if message.witness:
        row.witnessed_at = max(row.witnessed_at, sent)


def _record_witness(state: State, box: BoxId, at: Millis) -> None:
    row = state.members.rows.get(box)
    if row is not None:
        row.witnessed_at = max(row.witnessed_at, at)


def _suspensions(state: State, now: Millis) -> tuple[Suspension, ...]:
    return tuple(
        Suspension(version, row.rollout, row.stage, row.reason, Millis(now - row.since))
        for version, row in state.suspended.items()
    )


def _apply_suspension(state: State, suspension: Suspension, now: Millis) -> None:
    rollout = state.config.rollouts.get(suspension.rollout)
    if rollout is not None and rollout.state.value == "pulled_back":
        return
    if suspension.version not in state.suspended and suspension.age < MAX_SUSPENSION_MS:
        state.suspended[suspension.version] = SuspendedRow(
            suspension.rollout,
            suspension.stage,
            suspension.reason,
            Millis(now - suspension.age),
        )


def duty_rank(state: State, duty: str, now: Millis, suspect_ms: int) -> int:
    """Return this box's place among the live ones for a duty that needs no lease.

    The first box performs the duty and the others wait for their turn, so that it is
    mostly performed once. Such a duty must tolerate being performed twice.
    """
    live = [row.box for row in live_members(state, now, suspect_ms)]
    order = rendezvous(duty, [*live, state.identity.box], len(live) + 1)
    return order.index(state.identity.box)
