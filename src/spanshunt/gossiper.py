"""Exchanges with peers, and the answers to theirs."""

import asyncio
import random

from result import Err
from result import Ok

from .appender import Appender
from .claimer import Claimer
from .followers import ConfigFollower
from .ids import BoxId
from .ids import DomainId
from .ids import Incarnation
from .parts import Parts
from .peers.messages import AppendPartReply
from .peers.messages import AppendPartRequest
from .peers.messages import CallStatusReply
from .peers.messages import CallStatusRequest
from .peers.messages import CopyBillsReply
from .peers.messages import CopyBillsRequest
from .peers.messages import Exchange
from .peers.messages import ExchangeAnswer
from .peers.messages import MemberDigest
from .peers.messages import Pin
from .systems.gossip import answer_exchange
from .systems.gossip import apply_exchange_answer
from .systems.gossip import build_exchange
from .systems.gossip import drop_silent_members
from .systems.gossip import pick_peer
from .systems.journaling import store_copies
from .tables.members import MemberRow

_TIMEOUT = 1.0
_MOST_AT_ONCE = 32
"""Peers that a confirmed plan is told to at once; gossip reaches the rest."""


class Gossiper:
    """Exchanges news with peers and serves their calls.

    Parameters
    ----------
    parts : Parts
        What the parts of the daemon share.
    rng, follower, appender, claimer
        The other parts that it works with.
    """

    def __init__(
        self,
        parts: Parts,
        rng: random.Random,
        follower: ConfigFollower,
        appender: Appender,
        claimer: Claimer,
    ) -> None:
        self._parts = parts
        self._state, self._clock = parts.state, parts.clock
        self._rng = rng
        self._follower = follower
        self._appender = appender
        self._claimer = claimer
        self._pulls: dict[str, asyncio.Task[bool]] = {}

    async def round(self) -> None:
        """Exchange with one peer, or with a seed while no peer is known."""
        self._state.heartbeat += 1
        drop_silent_members(self._state, self._clock.now())
        now = self._clock.now()
        row = pick_peer(
            self._state, now, self._parts.settings.timing.suspect_ms, self._rng
        )
        if row is not None:
            await self._exchange(row.address, row.incarnation)
            return
        others = [
            seed
            for seed in self._parts.settings.seeds
            if seed != self._state.identity.address
        ]
        if others:
            await self._exchange(self._rng.choice(others), Incarnation(""))

    async def tell_all(self) -> None:
        """Exchange with many peers at once, after a change that should spread fast."""
        rows = list(self._state.members.rows.values())
        drawn = self._rng.sample(rows, min(len(rows), _MOST_AT_ONCE))
        await asyncio.gather(*(self._exchange(r.address, r.incarnation) for r in drawn))

    def meet(self, box: BoxId, domain: DomainId, address: str) -> None:
        """Note a peer that the platform lists and that was not heard of yet."""
        if box not in self._state.members.rows and box != self._state.identity.box:
            self._state.members.rows[box] = MemberRow(
                box=box,
                domain=domain,
                address=address,
                incarnation=Incarnation(""),
                heard=self._clock.now(),
            )

    async def exchange(self, told: Exchange) -> ExchangeAnswer:
        """Answer a peer; pull from it at once if it is ahead."""
        ahead = told.sender.offset > self._state.config.next_offset
        reply = answer_exchange(
            self._state,
            told,
            self._clock.now(),
            self._clock.wall(),
            self._rng,
        )
        if ahead:
            self._pull(told.sender)
        return reply

    async def copy_bills(self, copy: CopyBillsRequest) -> CopyBillsReply:
        """Hold copies, if there is room."""
        journal = self._state.journal
        room = self._parts.settings.journal.max_entries - journal.size
        if len(copy.entries) > room:
            return CopyBillsReply(held=False)
        store_copies(journal, copy.owner, copy.entries, copy.settled, self._clock.now())
        return CopyBillsReply(held=True)

    async def ask_call(self, ask: CallStatusRequest) -> CallStatusReply:
        """Say how far a call got that was claimed here."""
        return self._claimer.status(ask)

    async def get_pin(self, pin: Pin) -> Pin:
        """Return a session's version, empty if it is not known."""
        found = self._state.pins.get(pin.key, self._clock.now())
        return Pin(pin.key, found or pin.version)

    async def put_pin(self, pin: Pin) -> Pin:
        """Keep a session's version."""
        self._state.pins.put(pin.key, pin.version, self._clock.now())
        return pin

    async def gather(self, part: AppendPartRequest) -> AppendPartReply:
        """Append a part of a batch."""
        return await self._appender.gather(part)

    async def _exchange(self, address: str, incarnation: Incarnation) -> bool:
        sent = self._clock.now()
        told = build_exchange(self._state, incarnation, sent, self._rng)
        match await self._parts.peers.exchange(address, told, _TIMEOUT):
            case Ok(got):
                held = self._state.config.next_offset
                apply_exchange_answer(
                    self._state,
                    got,
                    sent,
                    self._clock.now(),
                    self._clock.wall(),
                )
                if self._state.config.next_offset > held:
                    self._follower.note_grown()
                return True
            case Err(_):
                self._state.evidence_sent.pop(incarnation, None)
                return False

    def _pull(self, sender: MemberDigest) -> None:
        if sender.address in self._pulls:
            return
        pull = self._exchange(sender.address, sender.incarnation)
        task = asyncio.create_task(pull)
        self._pulls[sender.address] = task
        task.add_done_callback(lambda _task: self._pulls.pop(sender.address, None))
