"""Rows about model engines: their speed and the prompt parts that they cache."""

import typing as t

import msgspec

from ..ids import Millis
from ..ids import ModelId
from ..ids import WorkerId


class PromptPart(t.NamedTuple):
    """A prompt part that requests share: its name and its number of tokens."""

    name: str
    tokens: int


class PrefillSpeed(msgspec.Struct):
    """How fast the engines of a service process prompts with a model.

    Attributes
    ----------
    read_ms : float
        Time to process (read) one prompt token that is not cached, in ms.
    base_ms : float
        Time to the first event without prefill, in ms.
    answers : int
        Number of answers that the estimate is based on.
    """

    read_ms: float
    base_ms: float
    answers: int = 1


class DecodeSpeed(msgspec.Struct):
    """How fast the engines of a service generate tokens with a model.

    Attributes
    ----------
    gap_ms : float
        Usual time between two events, in ms.
    answers : int
        Number of answers that the estimate is based on.
    """

    gap_ms: float
    answers: int


class RecentPrefill(msgspec.Struct, frozen=True):
    """A prompt that this box sent to an engine not known to have it cached.

    Attributes
    ----------
    worker : str
        The worker that runs the engine.
    model : str
        The model that processes the prompt.
    shared_parts : tuple of PromptPart
        Shared parts of the prompt, in order.
    at : int
        When the prompt was sent, in ms.
    """

    worker: WorkerId
    model: ModelId
    shared_parts: tuple[PromptPart, ...]
    at: Millis


class PromptCache(msgspec.Struct):
    """Prompt parts that an engine probably has cached, least recently used first.

    Attributes
    ----------
    parts : dict
        Number of tokens by part; keys are built by
        :func:`~spanshunt.systems.keeping.part_key`.
    tokens : int
        Total number of tokens of the parts.
    """

    parts: dict[str, int] = {}
    tokens: int = 0
