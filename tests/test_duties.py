"""A version that boxes shut out is recorded as pulled back, whatever comes later.

Seen: a bad version got no work any more and stood as entering for 40 s, on 38 of 1,806
answers. Cause: boxes shut it out for good at once, while its record was made anew from
the evidence at each look. Ratings of its last answers came seconds later, some of them
good; the evidence fell under the threshold, and as it got no more work, stayed there.
Proof: these tests, by which a good rating is enough.
"""

import types

import pytest
from result import Ok

from builders import a_state
from builders import base_config
from builders import confirm_of
from builders import put
from spanshunt.clock import ManualClock
from spanshunt.duties import Duties
from spanshunt.ids import Millis
from spanshunt.ids import VersionId
from spanshunt.records import RolloutStep
from spanshunt.records import StepVerdict
from spanshunt.systems.learning import record_counts
from spanshunt.tables.evidence import Cell
from spanshunt.tables.evidence import Counts
from spanshunt.tables.state import SuspendedRow

NEW = VersionId("chico@2")


class Appended:
    """Takes the steps that are to be recorded."""

    def __init__(self) -> None:
        self.steps: list[RolloutStep] = []

    async def append_now(self, _stream: object, step: RolloutStep) -> Ok[int]:
        self.steps.append(step)
        return Ok(len(self.steps))


class Judging:
    """One box whose roll-out of a bad version is under way."""

    def __init__(self) -> None:
        self.state = a_state()
        self.clock = ManualClock(100_000)
        config = self.state.config = base_config()
        new = {"do": "declare_version", "version": NEW, "service": "redactor-ia"}
        enter = {"do": "enter", "version": NEW, "guards": {}}
        put(config, confirm_of(config, new, enter))
        self.rollout = next(iter(config.rollouts))
        self.appended = Appended()
        timing = types.SimpleNamespace(suspect_ms=3_000)
        parts = types.SimpleNamespace(
            state=self.state,
            clock=self.clock,
            settings=types.SimpleNamespace(timing=timing),
            metrics=types.SimpleNamespace(count=lambda _name: None),
        )
        self.duties = Duties(parts, self.appended, None)  # type: ignore[arg-type]

    def rate(self, good: int, bad: int) -> None:
        rated = good + bad
        counts = Counts(runs=rated, rated=rated, good=good)
        cell = Cell(NEW, "note", "museo")
        record_counts(
            self.state.evidence, self.state.identity.incarnation, 0, cell, counts
        )

    def shut_out(self, reason: str) -> None:
        self.state.suspended[NEW] = SuspendedRow(self.rollout, 0, reason, Millis(0))

    async def verdicts(self) -> list[StepVerdict]:
        await self.duties.judge_rollouts()
        return [step.verdict for step in self.appended.steps]


@pytest.fixture
def judging():
    return Judging()


async def test_pull_back_is_recorded_though_the_last_ratings_are_good(judging):
    judging.rate(good=20, bad=40)
    judging.shut_out("20 of 60 answers good")
    judging.rate(good=400, bad=0)
    assert await judging.verdicts() == [StepVerdict.PULL_BACK]
    assert judging.appended.steps[0].reason == "20 of 60 answers good"


async def test_version_that_another_box_shut_out_is_recorded_by_this_one(judging):
    """The box that judged it may be gone before it was its turn."""
    judging.shut_out("told by a peer")
    assert await judging.verdicts() == [StepVerdict.PULL_BACK]


async def test_version_that_is_shut_out_does_not_advance(judging):
    judging.shut_out("bad")
    judging.rate(good=400, bad=0)
    assert StepVerdict.ADVANCE not in await judging.verdicts()


async def test_version_that_nobody_shut_out_advances_as_before(judging):
    judging.rate(good=400, bad=0)
    assert await judging.verdicts() == [StepVerdict.ADVANCE]
