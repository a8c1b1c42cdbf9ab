"""Checks on a model engine's event stream, without parsing its tokens.

Every event of an OpenAI-compatible stream begins with the same ``data: {"id":"…"``.
Inside JSON strings quotes are escaped, so this prefix and the blank line that ends an
event can't occur in a token's text: counting both in a block of bytes is enough to see
that each event in it belongs to this answer.
"""

import enum

import msgspec
from result import Err
from result import Ok
from result import Result

_END = b"\n\n"
_DATA = b"data: "
_DONE = b"data: [DONE]\n\n"
_USAGE = b'"usage":{'
_PREFIX_START = b'data: {"id":"'
MAX_EVENT_BYTES = 1_048_576
"""The longest event that is taken in."""


class Flaw(enum.Enum):
    """What is wrong with a stream."""

    FOREIGN = "an event of another answer"
    MALFORMED = "an event that is not one"
    TOO_LONG = "an event of over 1 MiB"
    TRUNCATED = "the stream ended with no end mark"
    AFTER_END = "bytes after the end mark"
    UNACCOUNTED = "the stream ended with no usage"


class TokenUsage(msgspec.Struct, frozen=True):
    """The engine's count of tokens.

    Attributes
    ----------
    prompt_tokens, completion_tokens : int
        Tokens read and generated.
    confidence : float or None
        How sure the engine is of the answer, from 0 to 1, where it says so.
    """

    prompt_tokens: int
    completion_tokens: int
    confidence: float | None = None


class _UsageEvent(msgspec.Struct, frozen=True):
    usage: TokenUsage


class EventStream:
    """The check of one answer's stream.

    :meth:`feed` gives the bytes that may go on to the caller: whole events only. The
    usage event and the end mark are held back, so that the caller sees the end only
    when the answer was billed.

    Parameters
    ----------
    pass_usage : bool
        Whether the caller asked for the usage event.
    """

    def __init__(self, *, pass_usage: bool) -> None:
        self.usage: TokenUsage | None = None
        self.events = 0
        self._pass_usage = pass_usage
        self._prefix = b""
        self._partial = b""
        self._tail = b""
        self._ended = False

    def feed(self, block: bytes) -> Result[bytes, Flaw]:
        """Take bytes in; return the events that may go on."""
        if self._ended:
            return Err(Flaw.AFTER_END) if block.strip() else Ok(b"")
        if self._partial:
            block = self._partial + block
        cut = block.rfind(_END) + len(_END)
        if cut < len(_END):
            self._partial = block
            return self._wait()
        if cut == len(block):
            events, self._partial = block, b""
        else:
            events, self._partial = block[:cut], block[cut:]
        return self._check(events)

    def finish(self) -> Result[bytes, Flaw]:
        """Return the held back end of a whole stream, or what is wrong with it."""
        if not self._ended or self._partial:
            return Err(Flaw.TRUNCATED)
        if self.usage is None:
            return Err(Flaw.UNACCOUNTED)
        return Ok(self._tail + _DONE)

    def _wait(self) -> Result[bytes, Flaw]:
        if len(self._partial) > MAX_EVENT_BYTES:
            return Err(Flaw.TOO_LONG)
        return Ok(b"")

    def _check(self, events: bytes) -> Result[bytes, Flaw]:
        if not self._prefix and not self._learn_prefix(events):
            return self._check_each(events)
        count = events.count(_END)
        if count != events.count(self._prefix) or _USAGE in events:
            return self._check_each(events)
        self.events += count
        return Ok(events)

    def _learn_prefix(self, events: bytes) -> bool:
        if not events.startswith(_PREFIX_START):
            return False
        close = events.find(b'"', len(_PREFIX_START))
        if close < 0:
            return False
        self._prefix = events[: close + 1]
        return True

    def _check_each(self, events: bytes) -> Result[bytes, Flaw]:
        passed = []
        for event in events.split(_END)[:-1]:
            match self._check_one(event):
                case Ok(kept):
                    passed.append(kept)
                case Err(flaw):
                    return Err(flaw)
        return Ok(b"".join(passed))

    def _check_one(self, event: bytes) -> Result[bytes, Flaw]:
        whole = event + _END
        if self._ended:
            return Err(Flaw.AFTER_END)
        if event.startswith(b":"):
            return Ok(b"")
        if whole == _DONE:
            self._ended = True
            return Ok(b"")
        if not self._prefix and not self._learn_prefix(whole):
            return Err(Flaw.MALFORMED)
        if not event.startswith(self._prefix):
            foreign = event.startswith(_DATA)
            return Err(Flaw.FOREIGN if foreign else Flaw.MALFORMED)
        self.events += 1
        if _USAGE in event:
            return self._take_usage(event)
        return Ok(whole)

    def _take_usage(self, event: bytes) -> Result[bytes, Flaw]:
        try:
            data = event[len(_DATA) :]
            self.usage = msgspec.json.decode(data, type=_UsageEvent).usage
        except msgspec.MsgspecError:
            return Err(Flaw.MALFORMED)
        if self._pass_usage:
            self._tail = event + _END
        return Ok(b"")


class _Choice(msgspec.Struct, frozen=True):
    index: int


class _WholeAnswer(msgspec.Struct, frozen=True):
    id: str
    choices: tuple[_Choice, ...]
    usage: TokenUsage


def check_whole(body: bytes) -> Result[TokenUsage, Flaw]:
    """Check an answer that is not streamed; return its usage."""
    try:
        whole = msgspec.json.decode(body, type=_WholeAnswer)
    except msgspec.MsgspecError:
        return Err(Flaw.MALFORMED)
    if not whole.choices:
        return Err(Flaw.TRUNCATED)
    return Ok(whole.usage)


class _Delta(msgspec.Struct, frozen=True):
    content: str | None = None


class _StreamChoice(msgspec.Struct, frozen=True):
    delta: _Delta = _Delta()


class _StreamEvent(msgspec.Struct, frozen=True):
    choices: tuple[_StreamChoice, ...] = ()


def text_of_stream(blocks: list[bytes]) -> str:
    """Return the text of a stream's events; used only for answers that are rated."""
    parts: list[str] = []
    for event in b"".join(blocks).split(_END):
        if not event.startswith(_DATA) or event == _DONE.strip():
            continue
        parsed = msgspec.json.decode(event[len(_DATA) :], type=_StreamEvent)
        parts.extend(choice.delta.content or "" for choice in parsed.choices)
    return "".join(parts)


class _Message(msgspec.Struct, frozen=True):
    content: str | None = None


class _TextChoice(msgspec.Struct, frozen=True):
    message: _Message = _Message()


class _TextAnswer(msgspec.Struct, frozen=True):
    choices: tuple[_TextChoice, ...] = ()


def text_of_whole(body: bytes) -> str:
    """Return the text of an answer that was not streamed."""
    parsed = msgspec.json.decode(body, type=_TextAnswer)
    return "".join(choice.message.content or "" for choice in parsed.choices)
