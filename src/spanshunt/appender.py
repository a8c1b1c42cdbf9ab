"""Appends to the log within its budget: batches, gathered by failure domain.

All daemons together may append some 100 records a second. So each failure domain has
one gatherer, the live box that its name's hash ranks first; bills and claims go through
it and leave as one record a window. Two boxes that both think themselves the gatherer
only cost an append more.
"""

import asyncio

import msgspec
from result import Err
from result import Ok
from result import Result

from .backing.log import LogClient
from .backing.outcomes import Fault
from .backing.outcomes import PlatformFault
from .ids import Offset
from .logs import log_event
from .parts import Parts
from .peers.messages import AppendPartReply
from .peers.messages import AppendPartRequest
from .peers.messages import AppendPartState
from .records import Bills
from .records import Claims
from .records import Record
from .records import Stream
from .records import decode_record
from .records import encode_record
from .systems.gossip import live_members
from .utils import rendezvous

CLAIMS_PART = 0.4
BILLS_PART = 0.3
"""Parts of the budget for claims and bills; the rest is left to configuration."""

MOST_PARTS = 400
"""Parts merged into one record."""

_MERGED = {Stream.BILLS: BILLS_PART, Stream.CLAIMS: CLAIMS_PART}


class _Waiting(msgspec.Struct):
    record: Bills | Claims
    fut: asyncio.Future[AppendPartReply]


class Appender:
    """Appends records, each in the way that its stream calls for.

    Parameters
    ----------
    parts : Parts
        What the parts of the daemon share.
    log
        The other parts that it works with.
    """

    def __init__(
        self,
        parts: Parts,
        log: LogClient,
    ) -> None:
        self._parts = parts
        self._state, self._clock = parts.state, parts.clock
        self._log = log
        self._waiting: dict[Stream, list[_Waiting]] = {stream: [] for stream in _MERGED}
        self._flushes: dict[Stream, asyncio.Task[None]] = {}

    async def append_now(
        self, stream: Stream, record: Record
    ) -> Result[Offset, PlatformFault]:
        """Append one record by itself."""
        self._parts.metrics.count(f"log.append.{stream.value}")
        return await self._log.append(stream, encode_record(record))

    async def append_merged(
        self, stream: Stream, record: Bills | Claims
    ) -> Result[Offset, PlatformFault]:
        """Append a record as part of a batch of the whole failure domain."""
        address = self._gatherer()
        if address is None:
            return _as_result(await self._join(stream, record))
        part = AppendPartRequest(stream, encode_record(record))
        timeout = self._parts.settings.platform.timeout_ms / 1000 + self.window(stream)
        match await self._parts.peers.gather(address, part, timeout):
            case Ok(gathered):
                return _as_result(gathered)
            case Err(fault):
                return Err(PlatformFault(Fault.UNKNOWN, fault.detail))

    async def gather(self, part: AppendPartRequest) -> AppendPartReply:
        """Take in another box's part of a batch."""
        match decode_record(part.record):
            case Ok(record) if isinstance(record, Bills | Claims):
                return await self._join(part.stream, record)
            case _:
                return AppendPartReply(AppendPartState.NOT_DONE)

    def window(self, stream: Stream) -> float:
        """Return how long a batch of `stream` is gathered, in seconds."""
        domains = {row.domain for row in self._state.members.rows.values()}
        domains.add(self._state.identity.domain)
        part = _MERGED[stream] * self._parts.settings.platform.appends_per_s
        shortest = len(domains) / part
        if stream is Stream.BILLS:
            return max(shortest, self._parts.settings.journal.batch_ms / 1000)
        return shortest

    def _gatherer(self) -> str | None:
        """Return the gatherer's address, None if it is this box."""
        state = self._state
        now = self._clock.now()
        near = {
            row.box: row.address
            for row in live_members(state, now, self._parts.settings.timing.suspect_ms)
            if row.domain == state.identity.domain and not row.stopping
        }
        names = [*near, state.identity.box]
        first = rendezvous(f"gatherer/{state.identity.domain}", names, 1)[0]
        return (
            None
            if first == state.identity.box
            else near[type(state.identity.box)(first)]
        )

    async def _join(self, stream: Stream, record: Bills | Claims) -> AppendPartReply:
        fut: asyncio.Future[AppendPartReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[stream].append(_Waiting(record, fut))
        if stream not in self._flushes:
            self._flushes[stream] = asyncio.create_task(self._flush_soon(stream))
        return await fut

    async def _flush_soon(self, stream: Stream) -> None:
        await asyncio.sleep(self.window(stream))
        del self._flushes[stream]
        parts = self._waiting[stream][:MOST_PARTS]
        self._waiting[stream] = self._waiting[stream][MOST_PARTS:]
        if self._waiting[stream]:
            self._flushes[stream] = asyncio.create_task(self._flush_soon(stream))
        merged = _merge([part.record for part in parts])
        gathered = _as_gathered(await self.append_now(stream, merged))
        if gathered.state is not AppendPartState.APPENDED:
            log_event("WARNING", "append failed", stream=stream.value)
        for part in parts:
            if not part.fut.done():
                part.fut.set_result(gathered)


def _merge(records: list[Bills | Claims]) -> Bills | Claims:
    bills = [record for record in records if isinstance(record, Bills)]
    if bills:
        return Bills(tuple(part for record in bills for part in record.parts))
    claims = [record for record in records if isinstance(record, Claims)]
    return Claims(
        tuple(claim for record in claims for claim in record.claims),
        tuple(release for record in claims for release in record.releases),
    )


def _as_gathered(outcome: Result[Offset, PlatformFault]) -> AppendPartReply:
    match outcome:
        case Ok(offset):
            return AppendPartReply(AppendPartState.APPENDED, offset)
        case Err(fault):
            certain = fault.fault is Fault.NOT_DONE
            return AppendPartReply(
                AppendPartState.NOT_DONE if certain else AppendPartState.UNKNOWN
            )


def _as_result(gathered: AppendPartReply) -> Result[Offset, PlatformFault]:
    if gathered.state is AppendPartState.APPENDED:
        return Ok(gathered.offset)
    certain = gathered.state is AppendPartState.NOT_DONE
    fault = Fault.NOT_DONE if certain else Fault.UNKNOWN
    return Err(PlatformFault(fault, "gathered append gave no offset"))
