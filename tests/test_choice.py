"""Choice of a version by permissions, states, sessions, targets and roll-outs."""

from builders import CHEAP
from builders import DEAR
from builders import base_config
from builders import confirm_of
from builders import put
from spanshunt.systems.choice import choose
from spanshunt.systems.choice_rows import Rule
from spanshunt.systems.choice_rows import VersionRequest
from spanshunt.systems.learning import changes_since
from spanshunt.systems.learning import estimate_quality
from spanshunt.systems.learning import merge_counts
from spanshunt.systems.learning import record_counts
from spanshunt.tables.evidence import Cell
from spanshunt.tables.evidence import Counts
from spanshunt.tables.evidence import Evidence
from spanshunt.tables.preferences import PreferenceCache


def choose_for_museo(config, evidence=None, **changes):
    """Choose a version for the notes of the organisation ``museo``."""
    request = VersionRequest("redactor-ia", "note", "museo", draw_key="x")
    request = VersionRequest(
        **{name: getattr(request, name) for name in request.__struct_fields__} | changes
    )
    pool = (evidence or Evidence()).pool
    loaded = {CHEAP, DEAR, "chico@2"} - set(changes.get("away", ()))
    return choose(
        config, pool, request, lambda name: name in loaded, PreferenceCache(), 0
    )


def add_ratings(
    evidence, version: str, rated: int, good: int, org: str = "museo"
) -> None:
    counts = Counts(
        runs=rated, rated=rated, good=good, prompt_tokens=rated, output_tokens=rated
    )
    record_counts(evidence, "box", 0, Cell(version, "note", org), counts)


class TestTargets:
    def test_dearest_version_is_taken_without_evidence(self):
        assert choose_for_museo(base_config()).unwrap().version == DEAR

    def test_cheapest_that_meets_the_target_is_taken(self):
        evidence = Evidence()
        add_ratings(evidence, CHEAP, 400, 360)
        add_ratings(evidence, DEAR, 400, 390)
        choice = choose_for_museo(base_config(), evidence).unwrap()
        assert (choice.version, choice.rule) == (CHEAP, Rule.CHEAPEST)

    def test_version_below_the_target_is_not_taken(self):
        evidence = Evidence()
        add_ratings(evidence, CHEAP, 400, 280)
        add_ratings(evidence, DEAR, 400, 390)
        assert choose_for_museo(base_config(), evidence).unwrap().version == DEAR

    def test_one_bad_rating_does_not_end_a_trial(self):
        """Regression: a version whose first rating was bad was never tried again.

        One bad rating moved the upper bound below the target.
        """
        evidence = Evidence()
        add_ratings(evidence, DEAR, 400, 390)
        add_ratings(evidence, CHEAP, 1, 0)
        versions = [
            choose_for_museo(base_config(), evidence, draw_key=f"r{number}")
            .unwrap()
            .version
            for number in range(200)
        ]
        assert CHEAP in versions

    def test_many_bad_ratings_end_a_trial(self):
        evidence = Evidence()
        add_ratings(evidence, DEAR, 400, 390)
        add_ratings(evidence, CHEAP, 60, 30)
        versions = {
            choose_for_museo(base_config(), evidence, draw_key=f"r{number}")
            .unwrap()
            .version
            for number in range(200)
        }
        assert versions == {DEAR}

    def test_an_organisation_may_have_a_target_of_its_own(self):
        config = base_config()
        target = {
            "do": "quality",
            "org": "museo",
            "service": "redactor-ia",
            "request_class": "note",
            "target": 0.95,
        }
        put(config, confirm_of(config, target))
        evidence = Evidence()
        add_ratings(evidence, CHEAP, 400, 360)
        add_ratings(evidence, DEAR, 400, 398)
        assert choose_for_museo(config, evidence).unwrap().version == DEAR


class TestAllowed:
    def test_version_that_is_not_allowed_is_never_chosen(self):
        config = base_config()
        disallow = {"do": "disallow", "org": "museo", "allowed": ["grande"]}
        put(config, confirm_of(config, disallow))
        assert choose_for_museo(config).unwrap().version == CHEAP

    def test_error_lists_the_reasons_if_no_version_is_left(self):
        config = base_config()
        disallow = {"do": "disallow", "org": "museo", "allowed": ["grande", "chico"]}
        put(config, confirm_of(config, disallow))
        excluded = choose_for_museo(config).unwrap_err().excluded
        assert {row.reason for row in excluded} == {"not allowed to the organisation"}


class TestSessions:
    def test_session_stays_on_its_version(self):
        choice = choose_for_museo(base_config(), pin=CHEAP).unwrap()
        assert (choice.version, choice.rule) == (CHEAP, Rule.SESSION)

    def test_session_on_an_entering_version_is_rated(self):
        """Regression: sessions drawn into a roll-out were hardly ever rated.

        A bad version answered 65 requests, most of them from sessions, and was not
        rolled back because it had too few ratings.
        """
        config = base_config()
        declare = {
            "do": "declare_version",
            "version": "chico@2",
            "service": "redactor-ia",
        }
        put(config, confirm_of(config, declare, {"do": "enter", "version": "chico@2"}))
        assert choose_for_museo(config, pin="chico@2").unwrap().rate == 1.0
        assert choose_for_museo(config, pin=CHEAP).unwrap().rate < 0.1

    def test_session_moves_when_its_version_is_withdrawn(self):
        config = base_config()
        put(config, confirm_of(config, {"do": "withdraw", "version": CHEAP}))
        assert choose_for_museo(config, pin=CHEAP).unwrap().version == DEAR


class TestRollouts:
    def config_with_rollout(self, share: float):
        config = base_config()
        declare = {
            "do": "declare_version",
            "version": "chico@2",
            "service": "redactor-ia",
        }
        guards = {"stages": [share, 1.0]}
        enter = {"do": "enter", "version": "chico@2", "guards": guards}
        put(config, confirm_of(config, declare, enter))
        return config

    def evidence(self) -> Evidence:
        evidence = Evidence()
        add_ratings(evidence, CHEAP, 400, 380)
        add_ratings(evidence, DEAR, 400, 390)
        return evidence

    def test_entering_version_takes_its_share_of_the_preceding_one(self):
        config, evidence = self.config_with_rollout(0.3), self.evidence()
        versions = [
            choose_for_museo(config, evidence, draw_key=f"r{number}").unwrap().version
            for number in range(600)
        ]
        assert 0.2 < versions.count("chico@2") / 600 < 0.4

    def test_a_few_bad_ratings_do_not_starve_a_rollout(self):
        """Regression: a bad version got no more requests and was never rolled back.

        Its roll-out stayed in the first stage with too little evidence to decide.
        """
        config, evidence = self.config_with_rollout(0.25), Evidence()
        add_ratings(evidence, DEAR, 400, 390)
        add_ratings(evidence, CHEAP, 10, 9)
        add_ratings(evidence, "chico@2", 20, 8)
        versions = [
            choose_for_museo(config, evidence, draw_key=f"r{number}").unwrap().version
            for number in range(400)
        ]
        assert versions.count("chico@2") / 400 > 0.15

    def test_request_in_the_share_stays_in_it_as_the_share_grows(self):
        small, large = self.config_with_rollout(0.2), self.config_with_rollout(0.6)
        large.rollouts = {
            name: type(row)(**{f: getattr(row, f) for f in row.__struct_fields__}
                            | {"guards": next(iter(large.rollouts.values())).guards})
            for name, row in small.rollouts.items()
        }  # fmt: skip
        evidence = self.evidence()
        for number in range(200):
            key = f"r{number}"
            if (
                choose_for_museo(small, evidence, draw_key=key).unwrap().version
                == "chico@2"
            ):
                grown = choose_for_museo(large, evidence, draw_key=key).unwrap()
                assert grown.version == "chico@2"


class TestEvidence:
    def test_merging_twice_counts_once_in_any_order(self):
        local, peer = Evidence(), Evidence()
        add_ratings(local, CHEAP, 10, 8)
        rows, _ = changes_since(local, 0, 100)
        assert merge_counts(peer, rows, 0) == 1
        assert merge_counts(peer, rows, 0) == 0
        add_ratings(local, CHEAP, 5, 5)
        newer, _ = changes_since(local, 0, 100)
        merge_counts(peer, newer, 0)
        merge_counts(peer, rows, 0)
        assert peer.pool.classes[(CHEAP, "note")].rated == 15

    def test_organisations_that_agree_share_their_evidence(self):
        evidence = Evidence()
        for org in ("a", "b", "c", "d"):
            add_ratings(evidence, CHEAP, 300, 270, org)
        estimate = estimate_quality(evidence.pool, Cell(CHEAP, "note", "museo"))
        assert estimate.low > 0.87

    def test_organisations_that_differ_do_not_share_their_evidence(self):
        evidence = Evidence()
        for org, good in (("a", 290), ("b", 150), ("c", 280), ("d", 120)):
            add_ratings(evidence, CHEAP, 300, good, org)
        estimate = estimate_quality(evidence.pool, Cell(CHEAP, "note", "museo"))
        assert estimate.high - estimate.low > 0.2
