"""A small box that most callers ask for prompts, beside idle ones."""

import pathlib

from bench.favoured_load import CASES
from bench.favoured_load import play

SERVED_PART = 0.75
"""Part of the callers served before that must be served under a favour, at the first
try that was read, from 3 s after it began."""


async def test_callers_of_a_small_favoured_box_are_served_as_before(
    tmp_path: pathlib.Path,
):
    """Guards against a box that takes more than its processor carries: 0.08 of its
    callers got their first event in time, while the boxes beside it were idle."""
    phases = await play(CASES["prompts-sixth"], 1, tmp_path)
    assert phases["under"].served >= SERVED_PART * phases["before"].served, phases
    assert phases["after"].served >= SERVED_PART * phases["before"].served, phases
