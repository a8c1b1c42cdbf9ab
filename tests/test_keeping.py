"""Which prompt parts an engine keeps: chains, models, memory."""

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


def test_part_counts_only_with_every_part_before_it():
    kept = PromptCache()
    record_prefill(kept, LARGE, [LEAF], 0.0)
    assert cached_tokens(kept, LARGE, [ROOT, LEAF]) == 0
    record_prefill(kept, LARGE, [ROOT, LEAF], 0.0)
    assert cached_tokens(kept, LARGE, [ROOT, LEAF]) == 1_000


def test_each_model_reads_for_itself():
    kept = PromptCache()
    record_prefill(kept, SMALL, [ROOT], 0.0)
    assert cached_tokens(kept, LARGE, [ROOT]) == 0


def test_longest_unused_part_gives_way_first():
    kept = PromptCache()
    for name in ("a", "b", "a", "c"):
        record_prefill(kept, LARGE, [PromptPart(name, 400)], 1_000.0)
    found = [
        name for name in "abc" if cached_tokens(kept, LARGE, [PromptPart(name, 1)])
    ]
    assert found == ["a", "c"]


reads = st.lists(
    st.tuples(st.integers(0, 900), st.integers(1, 5_000)), min_size=1, max_size=700
)


@given(reads, st.sampled_from([0.0, 4_000.0, 60_000.0]))
def test_memory_is_bounded_and_its_sum_is_right(given_reads, capacity):
    kept = PromptCache()
    for name, tokens in given_reads:
        record_prefill(kept, LARGE, [PromptPart(str(name), tokens)], capacity)
        assert kept.tokens == sum(kept.parts.values())
        assert len(kept.parts) <= MAX_CACHED_PARTS
        assert not capacity or kept.tokens <= capacity
