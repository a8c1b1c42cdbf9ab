"""Rows of what is known of model engines: their speed, and which prompts they keep."""

import typing as t

import msgspec

from ..ids import Millis
from ..ids import ModelId
from ..ids import WorkerId


class PromptPart(t.NamedTuple):
    """A part of a prompt that other requests share: its name and its tokens."""

    name: str
    tokens: int


class EngineSpeed(msgspec.Struct):
    """How fast the engines of a service run a model.

    Attributes
    ----------
    read_ms : float
        Time to read a prompt token that is not kept, in ms.
    base_ms : float
        Time to the first event beside that, in ms.
    answers : int
        Answers that this rests on.
    """

    read_ms: float
    base_ms: float
    answers: int = 1


class WritePace(msgspec.Struct):
    """How fast the engines of a service write with a model.

    Attributes
    ----------
    gap_ms : float
        Usual time from event to event, in ms.
    answers : int
        Answers that this rests on.
    """

    gap_ms: float
    answers: int


class PromptRead(msgspec.Struct, frozen=True):
    """A prompt that this box sent to an engine which was not known to keep it.

    Attributes
    ----------
    worker : str
        The engine.
    model : str
        The model that reads it.
    shared : tuple of PromptPart
        Its shared parts, in order.
    at : int
        When it was sent, in ms.
    """

    worker: WorkerId
    model: ModelId
    shared: tuple[PromptPart, ...]
    at: Millis


class KeptParts(msgspec.Struct):
    """Prompt parts that an engine probably keeps, the longest unused first.

    Attributes
    ----------
    parts : dict
        Tokens by part, as :func:`~spanshunt.systems.keeping.part_key` names it.
    tokens : int
        The sum of them.
    """

    parts: dict[str, int] = {}
    tokens: int = 0
