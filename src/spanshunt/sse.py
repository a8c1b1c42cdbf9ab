"""Validation of a model engine's event stream, without decoding its tokens.

All events of an OpenAI-compatible stream begin with the same ``data: {"id":"…"``. JSON
escapes quotes and line breaks in strings, so neither this prefix nor the blank line
that ends an event can occur in a token's text. A block of bytes that contains both
equally often therefore contains only events of this answer.
"""

import enum
import typing as t

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
"""Maximum length of an event."""


class Flaw(enum.Enum):
    """Reason why an answer is invalid."""

    OTHER_ANSWER = "an event of another answer"
    MALFORMED = "an event that is not one"
    TOO_LONG = "an event of over 1 MiB"
    TRUNCATED = "the stream ended with no end mark"
    AFTER_END = "bytes after the end mark"
    NO_USAGE = "the stream ended with no usage"


class TokenUsage(msgspec.Struct, frozen=True):
    """Token counts reported by an engine.

    Attributes
    ----------
    prompt_tokens, completion_tokens : int
        Tokens of the prompt and of the answer.
    confidence : float or None
        Confidence of the engine in the answer, in 0 to 1; None if it reports none.
    """

    prompt_tokens: int
    completion_tokens: int
    confidence: float | None = None


class _UsageEvent(msgspec.Struct, frozen=True):
    usage: TokenUsage


class EventStream:
    """Validator of the event stream of one answer.

    :meth:`feed` returns the bytes that may be sent to the caller, always complete
    events. The usage event and the end mark are held back until :meth:`finish`, so that
    the caller sees the end only after the answer was billed.

    Parameters
    ----------
    pass_usage : bool
        Whether the usage event is sent to the caller.
    """

    def __init__(self, *, pass_usage: bool) -> None:
        self.usage: TokenUsage | None = None
        self.events = 0
        self._pass_usage = pass_usage
        self._prefix = b""
        self._partial = b""
        self._usage_event = b""
        self._ended = False

    def feed(self, block: bytes) -> Result[bytes, Flaw]:
        """Validate received bytes; return the events that may be sent to the caller."""
        if self._ended:
            return Err(Flaw.AFTER_END) if block.strip() else Ok(b"")
        if self._partial:
            block = self._partial + block
        end = block.rfind(_END) + len(_END)
        if end < len(_END):
            self._partial = block
            return self._check_partial()
        if end == len(block):
            events, self._partial = block, b""
        else:
            events, self._partial = block[:end], block[end:]
        return self._check_events(events)

    def finish(self) -> Result[bytes, Flaw]:
        """Return the held-back end of the stream, if the stream is complete."""
        if not self._ended or self._partial:
            return Err(Flaw.TRUNCATED)
        if self.usage is None:
            return Err(Flaw.NO_USAGE)
        return Ok(self._usage_event + _DONE)

    def _check_partial(self) -> Result[bytes, Flaw]:
        """Check the length of the incomplete event; none of it may be sent yet."""
        if len(self._partial) > MAX_EVENT_BYTES:
            return Err(Flaw.TOO_LONG)
        return Ok(b"")

    def _check_events(self, events: bytes) -> Result[bytes, Flaw]:
        """Validate complete events together, or singly if that is not enough."""
        if not self._prefix and not self._set_prefix(events):
            return self._check_each(events)
        count = events.count(_END)
        if count != events.count(self._prefix) or _USAGE in events:
            return self._check_each(events)
        self.events += count
        return Ok(events)

    def _set_prefix(self, events: bytes) -> bool:
        """Set the prefix of this answer's events; return whether there is one."""
        if not events.startswith(_PREFIX_START):
            return False
        end = events.find(b'"', len(_PREFIX_START))
        if end < 0:
            return False
        self._prefix = events[: end + 1]
        return True

    def _check_each(self, events: bytes) -> Result[bytes, Flaw]:
        checked = []
        for event in events.split(_END)[:-1]:
            match self._check_event(event):
                case Ok(passed):
                    checked.append(passed)
                case Err(flaw):
                    return Err(flaw)
        return Ok(b"".join(checked))

    def _check_event(self, event: bytes) -> Result[bytes, Flaw]:
        terminated = event + _END
        if self._ended:
            return Err(Flaw.AFTER_END)
        if event.startswith(b":"):
            return Ok(b"")
        if terminated == _DONE:
            self._ended = True
            return Ok(b"")
        if not self._prefix and not self._set_prefix(terminated):
            return Err(Flaw.MALFORMED)
        if not event.startswith(self._prefix):
            foreign = event.startswith(_DATA)
            return Err(Flaw.OTHER_ANSWER if foreign else Flaw.MALFORMED)
        self.events += 1
        if _USAGE in event:
            return self._read_usage(event)
        return Ok(terminated)

    def _read_usage(self, event: bytes) -> Result[bytes, Flaw]:
        try:
            data = event[len(_DATA) :]
            self.usage = msgspec.json.decode(data, type=_UsageEvent).usage
        except (msgspec.MsgspecError, RecursionError):
            return Err(Flaw.MALFORMED)
        if self._pass_usage:
            self._usage_event = event + _END
        return Ok(b"")


class _Choice(msgspec.Struct, frozen=True):
    index: int


class _WholeAnswer(msgspec.Struct, frozen=True):
    id: str
    choices: tuple[_Choice, ...]
    usage: TokenUsage


def check_whole_answer(body: bytes) -> Result[TokenUsage, Flaw]:
    """Validate an answer that is not streamed; return its usage."""
    try:
        answer = msgspec.json.decode(body, type=_WholeAnswer)
    except (msgspec.MsgspecError, RecursionError):
        return Err(Flaw.MALFORMED)
    if not answer.choices:
        return Err(Flaw.TRUNCATED)
    return Ok(answer.usage)


class _Delta(msgspec.Struct, frozen=True):
    content: str | None = None


class _StreamChoice(msgspec.Struct, frozen=True):
    delta: _Delta = _Delta()


class _StreamEvent(msgspec.Struct, frozen=True):
    choices: tuple[_StreamChoice, ...] = ()


TextT = t.TypeVar("TextT", _StreamEvent, "_TextAnswer")


def _decode_text(raw: bytes, kind: type[TextT]) -> TextT:
    """Decode a part of an answer that holds text; an empty one if it does not fit."""
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.MsgspecError, RecursionError):
        return kind()


def text_of_stream(blocks: list[bytes]) -> str:
    """Return the text of a stream's events, to be rated.

    An event of another shape has none: the text is for a rating, not for the caller.
    """
    parts: list[str] = []
    for event in b"".join(blocks).split(_END):
        if not event.startswith(_DATA) or event == _DONE.strip():
            continue
        parsed = _decode_text(event[len(_DATA) :], _StreamEvent)
        parts.extend(choice.delta.content or "" for choice in parsed.choices)
    return "".join(parts)


class _Message(msgspec.Struct, frozen=True):
    content: str | None = None


class _TextChoice(msgspec.Struct, frozen=True):
    message: _Message = _Message()


class _TextAnswer(msgspec.Struct, frozen=True):
    choices: tuple[_TextChoice, ...] = ()


def text_of_whole_answer(body: bytes) -> str:
    """Return the text of an answer that is not streamed; of another shape, none."""
    parsed = _decode_text(body, _TextAnswer)
    return "".join(choice.message.content or "" for choice in parsed.choices)
