"""The fold and the planner: plans, conflicts, duplicates and unknown records."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from builders import CHEAP
from builders import DEAR
from builders import base_config
from builders import confirm_of
from builders import intents
from builders import put
from spanshunt.exceptions import InvariantError
from spanshunt.records import Lease
from spanshunt.records import LogRecord
from spanshunt.records import RolloutStep
from spanshunt.records import StepVerdict
from spanshunt.records import decode_record
from spanshunt.records import encode_record
from spanshunt.systems.fold import fold_record
from spanshunt.systems.fold import snapshot_of
from spanshunt.systems.fold import verify_snapshot
from spanshunt.systems.planner import make_plan
from spanshunt.tables.config import RolloutState
from spanshunt.tables.config import VersionState

WITHDRAW = {"do": "withdraw", "version": DEAR}
NEW = {"do": "declare_version", "version": "chico@2", "service": "redactor-ia"}
ENTER = {"do": "enter", "version": "chico@2"}


class TestConfirm:
    def test_first_of_two_racing_plans_wins(self):
        config = base_config()
        first = confirm_of(config, WITHDRAW)
        second = confirm_of(
            config, {**NEW, "version": DEAR, "output_price": 1, "active": True}
        )
        put(config, first)
        put(config, second)
        assert config.versions[DEAR].state is VersionState.WITHDRAWN
        assert config.conflicts[second.plan] == (f"version/{DEAR}",)

    def test_duplicate_confirm_is_folded_once(self):
        config = base_config()
        record = confirm_of(config, NEW)
        put(config, record)
        put(config, record)
        assert len(config.history) == 2

    def test_plans_that_touch_nothing_common_both_win(self):
        config = base_config()
        first = confirm_of(config, WITHDRAW)
        second = confirm_of(config, NEW)
        put(config, first)
        put(config, second)
        assert not config.conflicts

    def test_record_after_a_gap_is_an_error(self):
        config = base_config()
        late = LogRecord(
            config.next_offset + 1, 0, encode_record(Lease("d", "h", 1, 0))
        )
        with pytest.raises(InvariantError):
            fold_record(config, late)

    def test_unknown_kind_is_skipped(self):
        config = base_config()
        before = config.next_offset
        fold_record(config, LogRecord(before, 0, b'{"type":"of-a-newer-version"}'))
        assert config.next_offset == before + 1

    @given(st.binary(max_size=200))
    def test_any_bytes_are_skipped(self, data: bytes):
        config = base_config()
        fold_record(config, LogRecord(config.next_offset, 0, data))
        assert DEAR in config.versions


class TestSnapshot:
    def test_snapshot_comes_back_whole(self):
        config = base_config()
        raw = encode_record(snapshot_of(config))
        found = verify_snapshot(decode_record(raw).unwrap())
        assert found == config

    def test_altered_snapshot_is_rejected(self):
        snapshot = snapshot_of(base_config())
        del snapshot.config.versions[CHEAP]
        assert verify_snapshot(snapshot) is None


class TestRolloutSteps:
    def step(self, config, stage: int, verdict: StepVerdict = StepVerdict.ADVANCE):
        rollout = next(iter(config.rollouts))
        return RolloutStep(rollout, stage, verdict, "because", "box-1", 0)

    def entered(self):
        config = base_config()
        put(config, confirm_of(config, NEW, ENTER))
        return config

    def test_step_made_twice_is_made_once(self):
        config = self.entered()
        put(config, self.step(config, 0))
        put(config, self.step(config, 0))
        assert next(iter(config.rollouts.values())).stage == 1

    def test_last_step_activates_the_version(self):
        config = self.entered()
        for stage in range(4):
            put(config, self.step(config, stage))
        assert next(iter(config.rollouts.values())).state is RolloutState.DONE
        assert config.versions["chico@2"].state is VersionState.ACTIVE

    def test_advance_after_a_pull_back_does_nothing(self):
        config = self.entered()
        put(config, self.step(config, 0, StepVerdict.PULL_BACK))
        put(config, self.step(config, 0))
        assert config.versions["chico@2"].state is VersionState.WITHDRAWN

    def test_pull_back_reaches_a_version_in_full_service(self):
        config = self.entered()
        for stage in range(4):
            put(config, self.step(config, stage))
        put(config, self.step(config, 3, StepVerdict.PULL_BACK))
        assert config.versions["chico@2"].state is VersionState.WITHDRAWN


class TestLeases:
    def test_second_holder_waits_for_the_end(self):
        config = base_config()
        put(config, Lease("d", "one", 100, 0), at=1_000)
        put(config, Lease("d", "two", 100, 0), at=1_050)
        assert config.leases["d"].holder == "one"
        put(config, Lease("d", "two", 100, 0), at=1_101)
        assert config.leases["d"].holder == "two"
        assert config.leases["d"].token == config.next_offset - 1

    def test_renewal_keeps_the_token(self):
        config = base_config()
        put(config, Lease("d", "one", 100, 0), at=1_000)
        token = config.leases["d"].token
        put(config, Lease("d", "one", 100, 0), at=1_050)
        assert config.leases["d"].token == token
        assert config.leases["d"].until == 1_150


class TestPlanner:
    @pytest.mark.parametrize(
        ("intent", "field"),
        [
            ({"do": "withdraw", "version": "nobody@1"}, "version"),
            ({"do": "allow", "org": "nobody", "allowed": ["chico"]}, "org"),
            ({"do": "allow", "org": "museo", "allowed": ["nobody"]}, "allowed"),
            ({**NEW, "service": "nobody"}, "service"),
            ({"do": "enter", "version": CHEAP}, "version"),
            (
                {
                    "do": "quality",
                    "service": "redactor-ia",
                    "request_class": "nobody",
                    "target": 0.5,
                },
                "request_class",
            ),
        ],
    )
    def test_problem_names_field_and_what_is_allowed(self, intent, field: str):
        problem = make_plan(base_config(), intents(intent).intents).unwrap_err()
        assert problem.field == f"$.intents[0].{field}"
        assert problem.problem

    def test_stages_must_rise_to_one(self):
        guards = {"stages": [0.5, 0.1]}
        given = intents(NEW, {**ENTER, "guards": guards}).intents
        problem = make_plan(base_config(), given).unwrap_err()
        assert problem.field == "$.intents[1].guards.stages"

    def test_plan_changes_nothing(self):
        config = base_config()
        before = snapshot_of(config).hash
        make_plan(config, intents(NEW, ENTER, WITHDRAW).intents).unwrap()
        assert snapshot_of(config).hash == before

    def test_withdrawal_that_strands_an_organisation_warns(self):
        given = intents(WITHDRAW, {"do": "withdraw", "version": CHEAP}).intents
        plan = make_plan(base_config(), given).unwrap()
        assert any("museo" in note for note in plan.notes)
