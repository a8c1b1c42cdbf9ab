"""Claims of keyed calls: who may run a key, and what to answer a repeat."""

import asyncio
import contextlib

import msgspec
from result import Err
from result import Ok
from result import Result

from .appender import Appender
from .backing.outcomes import Fault
from .clock import Clock
from .ids import Incarnation
from .ids import Millis
from .ids import OrgId
from .ids import RequestId
from .ids import ServiceId
from .peers.client import PeerClient
from .peers.messages import CallStatusReply
from .peers.messages import CallStatusRequest
from .records import Claim
from .records import Claims
from .records import Release
from .records import Stream
from .refusals import Problem
from .refusals import Refusal
from .refusals import Run
from .systems.claiming import claim_key
from .systems.claiming import drop_finished_calls
from .systems.claiming import may_send
from .systems.claiming import winning_claim
from .tables.claims import CallAnswer
from .tables.claims import CallState
from .tables.claims import OwnCall
from .tables.state import State

READ_BACK_MS = 4_000
"""How long a claim may take to be read back before it is given up."""

KEEP_ANSWERS = 2_000
"""Own calls that are over whose answers are kept for repeats."""

MAX_ANSWER_BYTES = 65_536
"""Longer answers are not kept; a repeat then learns only that the call ran."""

_ASK_TIMEOUT = 1.0


class Won(msgspec.Struct, frozen=True):
    """The call may run; ``key`` is the claim's."""

    key: str


class Repeat(msgspec.Struct, frozen=True):
    """The call ran before; here is its answer."""

    answer: CallAnswer


class Claimer:
    """Claims keys on the log and reads them back.

    Parameters
    ----------
    state, clock, appender, peers
        The parts of the daemon that it works with.
    """

    def __init__(
        self, state: State, clock: Clock, appender: Appender, peers: PeerClient
    ) -> None:
        self._state = state
        self._clock = clock
        self._appender = appender
        self._peers = peers
        self._folded = asyncio.Event()

    def note_folded(self) -> None:
        """Wake those who wait for their claim to be read back."""
        self._folded.set()
        self._folded = asyncio.Event()

    async def claim(
        self, org: OrgId, service: ServiceId, key: str, request: RequestId
    ) -> Result[Won | Repeat, Refusal]:
        """Claim a caller's key for a request."""
        table = self._state.claims
        if not table.caught_up:
            return Err(_not_claimed("this box has not read the claims yet"))
        digest = claim_key(org, service, key)
        held = winning_claim(table, digest)
        if held is not None:
            return await self._repeat(held)
        table.own[request] = OwnCall(digest)
        claim = Claim(
            digest, self._state.identity.incarnation, request, self._clock.wall()
        )
        outcome = await self._appender.append_merged(Stream.CLAIMS, Claims((claim,)))
        match outcome:
            case Err(fault) if fault.fault is Fault.NOT_DONE:
                del table.own[request]
                return Err(_not_claimed("the log takes no claims now"))
            case _:
                return await self._read_back(digest, request)

    def mark_sent(self, request: RequestId) -> None:
        """Note that the first byte of a call may leave from here on."""
        self._state.claims.own[request].state = CallState.SENT

    def mark_unsent(self, request: RequestId) -> None:
        """Note that no byte of a call left after all, as no connection was made."""
        self._state.claims.own[request].state = CallState.CLAIMED

    def mark_done(self, request: RequestId, answer: CallAnswer) -> None:
        """Note that a call ran, and keep its answer for repeats."""
        own = self._state.claims.own.get(request)
        if own is None:
            return
        own.state = CallState.DONE
        if len(answer.body) <= MAX_ANSWER_BYTES:
            own.answer = answer
        drop_finished_calls(self._state.claims, KEEP_ANSWERS)

    async def give_up(self, request: RequestId) -> None:
        """Give up a claim that was won but that no byte was sent for."""
        own = self._state.claims.own.get(request)
        if own is None or own.state is not CallState.CLAIMED:
            return
        own.state = CallState.GIVEN_UP
        await self.release((Release(own.key, request),))

    async def release(self, releases: tuple[Release, ...]) -> None:
        """Put releases on the log, so that the keys are free again."""
        if releases:
            await self._appender.append_merged(Stream.CLAIMS, Claims((), releases))

    def status(self, ask: CallStatusRequest) -> CallStatusReply:
        """Answer a peer's question about a call claimed here."""
        own = self._state.claims.own.get(ask.request)
        if ask.holder != self._state.identity.incarnation or own is None:
            return CallStatusReply()
        return CallStatusReply(own.state, own.answer)

    async def _read_back(
        self, digest: str, request: RequestId
    ) -> Result[Won | Repeat, Refusal]:
        table = self._state.claims
        end = self._clock.now() + READ_BACK_MS
        while True:
            held = winning_claim(table, digest)
            if may_send(table, digest, request):
                return Ok(Won(digest))
            if held is not None and held.request != request:
                table.own.pop(request, None)
                return await self._repeat(held)
            left = end - self._clock.now()
            if left <= 0:
                table.own[request].state = CallState.GIVEN_UP
                return Err(_not_claimed("the claim could not be read back in time"))
            await self._wait(left)

    async def _wait(self, duration: int) -> None:
        folded = self._folded
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(folded.wait(), duration / 1000)

    async def _repeat(self, held: Claim) -> Result[Won | Repeat, Refusal]:
        status = await self._ask(held.request, held.holder)
        match status.state:
            case CallState.DONE if status.answer is not None:
                return Ok(Repeat(status.answer))
            case CallState.DONE:
                return Err(_taken("the call ran; its answer is not kept", Run.YES))
            case CallState.GIVEN_UP:
                return Err(_not_claimed("an earlier try of this key was given up"))
            case CallState.CLAIMED | CallState.SENT:
                return Err(_taken("a call with this key is under way", Run.UNKNOWN))
            case _:
                detail = "a call with this key was begun by a box that is gone"
                return Err(_taken(detail, Run.UNKNOWN))

    async def _ask(self, request: RequestId, holder: Incarnation) -> CallStatusReply:
        ask = CallStatusRequest(request, holder)
        if holder == self._state.identity.incarnation:
            return self.status(ask)
        for row in self._state.members.rows.values():
            if row.incarnation == holder:
                answer = await self._peers.ask_call(row.address, ask, _ASK_TIMEOUT)
                return answer.unwrap_or(CallStatusReply())
        return CallStatusReply()


def _not_claimed(detail: str) -> Refusal:
    return Refusal(Problem.NOT_CLAIMED, detail, Run.NO, Millis(1_000))


def _taken(detail: str, run: Run) -> Refusal:
    retry = Millis(1_000) if run is Run.UNKNOWN else None
    return Refusal(Problem.KEY_TAKEN, detail, run, retry)
