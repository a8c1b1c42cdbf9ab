"""A small fake of the log: it can be down, lose answers, and take appends late."""

from spanshunt.ids import Millis
from spanshunt.ids import Offset
from spanshunt.records import LogRecord
from spanshunt.records import Record
from spanshunt.records import encode_record


class Stream:
    """One stream of the fake log."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []
        self.first = 0

    @property
    def next(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)

    def append(self, data: bytes, now: int) -> int:
        """Keep a record."""
        self.records.append(LogRecord(Offset(self.next), Millis(now), data))
        return self.next - 1

    def read(self, start: int) -> list[LogRecord] | None:
        """Return the records from `start` on, None if some of them are gone."""
        if start < self.first:
            return None
        return self.records[start - self.first :]

    def drop(self, keep: int) -> None:
        """Keep only the last `keep` records."""
        gone = max(0, len(self.records) - keep)
        self.first += gone
        del self.records[:gone]


class FakeLog:
    """The log: it can be down, lose answers, and take an append late."""

    def __init__(self) -> None:
        self.streams = {"config": Stream(), "bills": Stream(), "claims": Stream()}
        self.down = False
        self.late: list[tuple[str, bytes]] = []

    def append(self, name: str, record: Record, now: int, fate: str) -> int | None:
        """Append; return the offset, None if there is no answer or no effect."""
        data = encode_record(record)
        if self.down or fate == "refused":
            return None
        if fate == "late":
            self.late.append((name, data))
            return None
        offset = self.streams[name].append(data, now)
        return None if fate == "lost" else offset

    def take_late(self, now: int) -> None:
        """Let appends take effect whose callers gave up on them."""
        for name, data in self.late:
            self.streams[name].append(data, now)
        self.late.clear()
