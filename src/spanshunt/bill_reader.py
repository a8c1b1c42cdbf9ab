"""The reader of the bills stream: what organisations owe."""

from result import Err
from result import Ok
from result import Result

from .backing.log import LogClient
from .backing.outcomes import Fault
from .backing.outcomes import PlatformFault
from .followers import read_all
from .ids import Offset
from .logs import log_event
from .records import BillsSnapshot
from .records import Stream
from .systems.journaling import bill_snapshot
from .systems.journaling import fold_bill_record
from .systems.journaling import newest_bill_fold
from .tables.billing import BillFold

SNAPSHOT_EVERY = 500
"""Records after which the fold is put on the log again."""


class BillReader:
    """Folds the bills stream, going on from where it was.

    Parameters
    ----------
    log : LogClient
        The log.
    """

    def __init__(self, log: LogClient) -> None:
        self._log = log
        self._fold = BillFold()
        self._snapshot_at = Offset(0)
        self.missing_before = Offset(0)

    async def catch_up(self) -> Result[BillFold, PlatformFault]:
        """Read up to the head of the stream and return the fold.

        Where the log dropped records before they were read, the newest snapshot on it
        stands for them. With none, the bills before ``missing_before`` are not known.
        """
        read = await read_all(self._log, Stream.BILLS, self._fold.next_offset)
        if isinstance(read, Err) and read.err_value.fault is Fault.DROPPED:
            return await self._start_at(Offset(read.err_value.first))
        if isinstance(read, Err):
            return read
        for record in read.ok_value.records:
            fold_bill_record(self._fold, record)
        return Ok(self._fold)

    def snapshot_due(self) -> BillsSnapshot | None:
        """Return a snapshot if one should be put on the log."""
        if self._fold.next_offset - self._snapshot_at < SNAPSHOT_EVERY:
            return None
        return bill_snapshot(self._fold)

    def note_snapshot(self, snapshot: BillsSnapshot) -> None:
        """Note that a snapshot is on the log."""
        self._snapshot_at = snapshot.fold.next_offset

    async def _start_at(self, first: Offset) -> Result[BillFold, PlatformFault]:
        read = await read_all(self._log, Stream.BILLS, first)
        if isinstance(read, Err):
            return read
        records = read.ok_value.records
        fold = newest_bill_fold(records)
        if fold is None or fold.next_offset < first:
            log_event("ERROR", "bills were dropped with no snapshot", first=first)
            fold = BillFold(next_offset=first)
            self.missing_before = first
        self._fold = fold
        self._snapshot_at = fold.next_offset
        for record in records:
            fold_bill_record(fold, record)
        return Ok(fold)
