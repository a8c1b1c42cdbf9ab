"""Which prompt parts an engine probably keeps: what was sent there, least used first.

An engine keeps the parts that it read until it needs the memory, the longest unused
give way first, and a part counts only where every part before it is kept as well. The
table holds what this box sent; other boxes send, too, so a box takes only its share of
the memory for its own.
"""

import typing as t

from ..ids import ModelId
from ..tables.engines import PromptCache
from ..tables.engines import PromptPart

PARTS_MOST = 512
"""Parts remembered of one engine at most, whatever its memory: 40 KB."""


def part_key(model: ModelId, part: str) -> str:
    """Return what a part is kept under: each model reads for itself."""
    return f"{model}/{part}"


def kept_tokens(
    kept: PromptCache, model: ModelId, shared: t.Sequence[PromptPart]
) -> int:
    """Return how many shared tokens are kept, up to the first part that isn't."""
    tokens = 0
    for part in shared:
        if part_key(model, part.name) not in kept.parts:
            break
        tokens += part.tokens
    return tokens


def note_read(
    kept: PromptCache,
    model: ModelId,
    parts: t.Sequence[PromptPart],
    capacity: float,
) -> None:
    """Take in that an engine reads a prompt, and forget what its memory is short of.

    Parameters
    ----------
    kept : PromptCache
        The engine's parts.
    model : str
        The model that reads.
    parts : sequence of PromptPart
        The parts, in the order of the prompt; its own last part takes memory as well.
    capacity : float
        Tokens of the engine's memory that this box counts on; 0 for unknown.
    """
    for part in parts:
        key = part_key(model, part.name)
        kept.tokens += part.tokens - kept.parts.pop(key, 0)
        kept.parts[key] = part.tokens
    while kept.parts and _too_much(kept, capacity):
        oldest = next(iter(kept.parts))
        kept.tokens -= kept.parts.pop(oldest)


def _too_much(kept: PromptCache, capacity: float) -> bool:
    return len(kept.parts) > PARTS_MOST or 0 < capacity < kept.tokens
