"""Mutation check: break the code on purpose and see that an invariant catches it.

Run with ``python -m bench.mutants``. Each mutant replaces one function of the program
for a while; the soak must then stop with a broken invariant.
"""

import random
import sys
import typing as t
import unittest.mock

import msgspec

from spanshunt.exceptions import InvariantError
from spanshunt.ids import Offset
from spanshunt.systems import choice
from spanshunt.systems import claiming
from spanshunt.systems import fold
from spanshunt.systems import following
from spanshunt.systems import freshness
from spanshunt.systems import gossip
from spanshunt.tables import billing
from spanshunt.tables.config import OrgRow
from spanshunt.tables.config import VersionState

from . import world
from . import world_checks
from .soak import run_schedule

MOST_SCHEDULES = 400


class Mutant(t.NamedTuple):
    """A broken piece of the program, and the promise that should catch it."""

    name: str
    target: t.Any
    attribute: str
    broken: t.Any
    promise: str


def _count_again(self: billing.Coverage, _seq: int) -> bool:
    return True


def _last_claim_wins(table: t.Any, record: t.Any) -> t.Any:
    table.won.clear()
    return _fold_claims(table, record)


def _withdrawn_too(config: t.Any, _org: t.Any, asked: t.Any, _holds: t.Any) -> t.Any:
    rows = config.versions_of(asked.service)
    active = VersionState.ACTIVE
    return [msgspec.structs.replace(row, state=active) for row in rows], []


def _any_snapshot(state: t.Any, snapshot: t.Any) -> bool:
    state.config = fold.copy_config(snapshot.config)
    state.config.next_offset = Offset(max(0, snapshot.config.next_offset - 1))
    following.check_offset(snapshot.config.next_offset, state.config.next_offset)
    return True


def _chancy_conflicts(config: t.Any, base: t.Any) -> t.Any:
    return _moved(config, base) if random.random() < 0.5 else ()


def _forgetful_copies(*_given: t.Any) -> None:
    return None


def _never_gives_up(_self: t.Any, one: t.Any, key: str) -> None:
    _self.told_not_run.add(one.waiting[key])


def _allowing(_org: t.Any, asked: t.Any, row: t.Any, holds: t.Any) -> str:
    everything = OrgRow(name="x", allowed=(row.model,))
    return _exclusion_reason(everything, asked, row, holds)


_exclusion_reason = choice._exclusion_reason
_fold_claims = claiming.fold_claims
_moved = fold.changed_objects

MUTANTS = (
    Mutant(
        "a stale box goes on",
        world,
        "is_fresh",
        lambda *_a: True,
        world_checks.IN_FORCE,
    ),
    Mutant(
        "one box is a majority",
        freshness,
        "majority_size",
        lambda _members: 1,
        world_checks.IN_FORCE,
    ),
    Mutant(
        "a fold that depends on chance",
        fold,
        "changed_objects",
        _chancy_conflicts,
        world_checks.SAME_FOLD,
    ),
    Mutant(
        "an older snapshot is taken",
        gossip,
        "apply_snapshot",
        _any_snapshot,
        "configuration-never-reverts",
    ),
    Mutant(
        "entries are counted again",
        billing.Coverage,
        "add",
        _count_again,
        "one-bill",
    ),
    Mutant("copies are not held", world, "store_copies", _forgetful_copies, "one-bill"),
    Mutant(
        "the last claim wins", world, "fold_claims", _last_claim_wins, "at-most-once"
    ),
    Mutant(
        "a call that was given up runs",
        world.World,
        "_give_up",
        _never_gives_up,
        "not-run-is-true",
    ),
    Mutant(
        "withdrawn versions are chosen",
        choice,
        "_usable",
        _withdrawn_too,
        "withdrawn-version",
    ),
    Mutant(
        "versions not allowed are chosen",
        choice,
        "_exclusion_reason",
        _allowing,
        "allowed-version",
    ),
)


def caught(mutant: Mutant) -> str:
    """Run schedules with a mutant; return the promise that broke, empty for none."""
    for seed in range(1, MOST_SCHEDULES):
        try:
            run_schedule(seed, 3 + seed % 4)
        except InvariantError as exc:
            return exc.promise
    return ""


def main() -> None:
    """Try every mutant; exit with 1 if one was not caught."""
    missed = 0
    for mutant in MUTANTS:
        patch = unittest.mock.patch.object
        with patch(mutant.target, mutant.attribute, mutant.broken):
            promise = caught(mutant)
        verdict = "caught" if promise == mutant.promise else f"MISSED ({promise})"
        missed += promise != mutant.promise
        print(f"{mutant.name:<34}{mutant.promise:<34}{verdict}")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
