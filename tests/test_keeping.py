"""Model of an engine's prompt cache: prefixes, models and eviction."""

from hypothesis import given
from hypothesis import strategies as st

from spanshunt.ids import ModelId
from spanshunt.systems.keeping import MAX_CACHED_PARTS
from spanshunt.systems.keeping import cached_tokens
from spanshunt.systems.keeping import record_prefill
from spanshunt.tables.engines import PromptCache
from spanshunt.tables.engines import PromptPart

SMALL, LARGE = ModelId("small"), ModelId("large")
ROOT, LEAF = PromptPart("root", 300), PromptPart("leaf", 700)


def test_part_counts_only_if_all_parts_before_it_are_cached():
    cache = PromptCache()
    record_prefill(cache, LARGE, [LEAF], 0.0)
    assert cached_tokens(cache, LARGE, [ROOT, LEAF]) == 0
    record_prefill(cache, LARGE, [ROOT, LEAF], 0.0)
    assert cached_tokens(cache, LARGE, [ROOT, LEAF]) == 1_000


def test_each_model_has_its_own_cache_entries():
    cache = PromptCache()
    record_prefill(cache, SMALL, [ROOT], 0.0)
    assert cached_tokens(cache, LARGE, [ROOT]) == 0


def test_least_recently_used_part_is_evicted_first():
    cache = PromptCache()
    for name in ("a", "b", "a", "c"):
        record_prefill(cache, LARGE, [PromptPart(name, 400)], 1_000.0)
    cached = [
        name for name in "abc" if cached_tokens(cache, LARGE, [PromptPart(name, 1)])
    ]
    assert cached == ["a", "c"]


prefills = st.lists(
    st.tuples(st.integers(0, 900), st.integers(1, 5_000)), min_size=1, max_size=700
)


@given(prefills, st.sampled_from([0.0, 4_000.0, 60_000.0]))
def test_cache_size_is_bounded_and_its_token_count_is_correct(given_prefills, capacity):
    cache = PromptCache()
    for name, tokens in given_prefills:
        record_prefill(cache, LARGE, [PromptPart(str(name), tokens)], capacity)
        assert cache.tokens == sum(cache.parts.values())
        assert len(cache.parts) <= MAX_CACHED_PARTS
        assert not capacity or cache.tokens <= capacity
