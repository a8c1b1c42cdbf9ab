"""Sequential tests, roll-out steps and limits shared by boxes."""

import math
import random

from builders import base_config
from builders import confirm_of
from builders import put
from spanshunt.records import StepVerdict
from spanshunt.systems.guarding import due_step
from spanshunt.systems.learning import record_counts
from spanshunt.systems.limiting import LimitKind
from spanshunt.systems.limiting import admit
from spanshunt.systems.limiting import finish_request
from spanshunt.systems.limiting import merge_peer_usage
from spanshunt.systems.limiting import own_usage_rows
from spanshunt.systems.limiting import update_usage
from spanshunt.systems.sequential import log_change_below
from spanshunt.systems.sequential import log_evidence_above
from spanshunt.systems.sequential import log_evidence_below
from spanshunt.tables.config import Limits
from spanshunt.tables.evidence import Cell
from spanshunt.tables.evidence import Counts
from spanshunt.tables.evidence import Evidence
from spanshunt.tables.usage import Usage


class TestSequential:
    def test_false_alarms_stay_under_alpha_with_a_test_at_each_rating(self):
        rng = random.Random(1)
        alpha, alarms, runs = 0.1, 0, 400
        for _ in range(runs):
            hits = 0
            for trials in range(1, 200):
                hits += rng.random() < 0.8
                if log_evidence_below(trials, hits, 0.8) >= math.log(1 / alpha):
                    alarms += 1
                    break
        assert alarms / runs <= alpha

    def test_evidence_grows_only_on_the_bad_side_of_the_bound(self):
        assert log_evidence_below(100, 50, 0.8) > 10
        assert log_evidence_below(100, 85, 0.8) < 0
        assert log_evidence_above(100, 30, 0.05) > 10
        assert log_evidence_above(100, 2, 0.05) < 0

    def test_change_is_detected_after_many_good_epochs(self):
        good = [(50, 45)] * 50
        assert log_change_below(good, 0.8) == -math.inf
        assert log_change_below([*good, (50, 20)], 0.8) > 12


class TestJudge:
    def entering_rollout(self, **guards):
        config = base_config()
        new = {"do": "declare_version", "version": "chico@2", "service": "redactor-ia"}
        enter = {"do": "enter", "version": "chico@2", "guards": guards}
        put(config, confirm_of(config, new, enter))
        return config, next(iter(config.rollouts.values()))

    def add_counts(self, evidence: Evidence, name: str = "note", **counts: int) -> None:
        cell = Cell("chico@2", name, "museo")
        record_counts(evidence, "box", 0, cell, Counts(**counts))

    def verdict(self, config, row, evidence, at: int = 100_000):
        step = due_step(config, row, evidence, "box", at)
        return step.verdict if step else None

    def test_holds_with_no_ratings(self):
        """Missing ratings are no evidence that a version is good."""
        config, row = self.entering_rollout()
        evidence = Evidence()
        self.add_counts(evidence, runs=500)
        assert self.verdict(config, row, evidence) is None

    def test_advances_on_good_ratings_after_the_stage_time(self):
        config, row = self.entering_rollout()
        evidence = Evidence()
        self.add_counts(evidence, runs=60, rated=60, good=58)
        assert self.verdict(config, row, evidence, at=1_000) is None
        assert self.verdict(config, row, evidence) is StepVerdict.ADVANCE

    def test_pulls_back_on_bad_ratings_errors_or_latency(self):
        for counts in (
            {"runs": 60, "rated": 60, "good": 20},
            {"runs": 60, "errors": 30},
            {"runs": 60, "slow": 50},
        ):
            config, row = self.entering_rollout()
            evidence = Evidence()
            self.add_counts(evidence, **counts)
            assert self.verdict(config, row, evidence) is StepVerdict.PULL_BACK

    def test_pulls_back_for_one_bad_class(self):
        config, row = self.entering_rollout()
        evidence = Evidence()
        self.add_counts(evidence, "description", runs=2000, rated=2000, good=1900)
        self.add_counts(evidence, "note", runs=80, rated=80, good=20)
        step = due_step(config, row, evidence, "box", 100_000)
        assert step.verdict is StepVerdict.PULL_BACK
        assert "class note" in step.reason


class TestLimits:
    def test_boxes_share_a_rate_without_a_coordinator(self):
        # A bucket of one token would lose refills between random arrivals.
        limits = Limits(rate=60, burst=30, concurrency=1_000)
        boxes = [Usage() for _ in range(3)]
        parts = (0.7, 0.2, 0.1)
        rng = random.Random(1)
        admitted = 0
        for now in range(0, 60_000, 5):
            for index, usage in enumerate(boxes):
                if rng.random() < parts[index] * 0.6:
                    refused = admit(usage, "o", limits, 3, now, now)
                    if refused is None:
                        finish_request(usage, "o", 0, now)
                        admitted += now >= 20_000
            if now % 500 == 0:
                for index, usage in enumerate(boxes):
                    update_usage(usage, {"o": limits}, 3, now, 500)
                    rows = own_usage_rows(usage, f"box{index}")
                    for other in boxes:
                        if other is not usage:
                            merge_peer_usage(other, rows, "x", now)
        assert abs(admitted / 40 / 60 - 1) <= 0.05

    def test_budget_counts_what_others_spent(self):
        limits = Limits(budget=100)
        usage, other = Usage(), Usage()
        assert admit(other, "o", limits, 2, 0, 0) is None
        finish_request(other, "o", 100, 0)
        assert admit(usage, "o", limits, 2, 0, 0) is None
        merge_peer_usage(usage, own_usage_rows(other, "other"), "me", 0)
        update_usage(usage, {"o": limits}, 2, 0, 500)
        refused = admit(usage, "o", limits, 2, 0, 0)
        assert refused is not None
        assert refused.limit is LimitKind.BUDGET
