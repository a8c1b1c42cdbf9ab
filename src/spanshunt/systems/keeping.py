"""Model of the prompt parts that each engine has cached, with LRU eviction.

An engine caches the prompt parts that it has processed until it needs the memory, and
evicts the least recently used part first. A part is usable only if all parts before it
are cached as well.

The `PromptCache` of an engine records the prompts that this box sent to it and the
shared parts of prompts that other boxes reported to have sent. Boxes do not report all
prompts, so a box assumes that only its share of the engine's memory is available to the
parts that it records.
"""

import typing as t

from ..ids import ModelId
from ..tables.engines import PromptCache
from ..tables.engines import PromptPart

MAX_CACHED_PARTS = 512
"""Maximum number of parts recorded per engine, whatever its memory: 40 KB."""


def part_key(model: ModelId, part: str) -> str:
    """Return the cache key of a part; each model has prompt state of its own."""
    return f"{model}/{part}"


def cached_tokens(
    cache: PromptCache, model: ModelId, shared: t.Sequence[PromptPart]
) -> int:
    """Return the number of shared tokens cached before the first part that is not."""
    tokens = 0
    for part in shared:
        if part_key(model, part.name) not in cache.parts:
            break
        tokens += part.tokens
    return tokens


def record_prefill(
    cache: PromptCache,
    model: ModelId,
    parts: t.Sequence[PromptPart],
    capacity: float,
) -> None:
    """Record that an engine processes a prompt, and evict parts beyond its capacity.

    Parameters
    ----------
    cache : PromptCache
        The parts that the engine has cached.
    model : str
        The model that processes the prompt.
    parts : sequence of PromptPart
        The parts in prompt order, including the last one, which belongs to this request
        alone but takes memory as well.
    capacity : float
        Tokens of the engine's memory available to this box. If it is 0, only the number
        of parts is limited.
    """
    for part in parts:
        key = part_key(model, part.name)
        cache.tokens += part.tokens - cache.parts.pop(key, 0)
        cache.parts[key] = part.tokens
    while cache.parts and _is_over_capacity(cache, capacity):
        oldest = next(iter(cache.parts))
        cache.tokens -= cache.parts.pop(oldest)


def _is_over_capacity(cache: PromptCache, capacity: float) -> bool:
    return len(cache.parts) > MAX_CACHED_PARTS or 0 < capacity < cache.tokens
