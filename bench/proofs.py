"""How often boxes prove their catalog, and how old proofs get, by the size of a fleet.

``python -m bench.proofs`` plays the decisions of many boxes on their tables: who is the
first of all, who looks, whom each tells. Exchanges take no time and every call to the
store is answered at once; ``--cut`` cuts the failure domains off from each other.
"""

import random
import typing as t
from dataclasses import dataclass

import cappa

from spanshunt.ids import BoxId
from spanshunt.ids import DomainId
from spanshunt.ids import Incarnation
from spanshunt.ids import Millis
from spanshunt.ids import Offset
from spanshunt.peers.partners import Partners
from spanshunt.platform.node import EXCHANGE_MS
from spanshunt.platform.operator_records import WAIT_PART
from spanshunt.platform.store_reader import LOOK_MS
from spanshunt.systems.following_workers import find_list_reader
from spanshunt.systems.proving import is_fleet_prober
from spanshunt.systems.proving import merge_peer_proof
from spanshunt.systems.proving import must_probe
from spanshunt.systems.proving import proof_age
from spanshunt.systems.proving import record_catalog_read
from spanshunt.tables.catalog import Catalog
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.fleet import PeerRow
from spanshunt.tables.identity import Identity

WARM_MS = 5_000
"""What is left out at the start, in ms."""

EXCHANGES_APART = EXCHANGE_MS // LOOK_MS
"""Ticks between two rounds of exchanges of a box."""


class Box:
    """A box: its tables, its partners, and when its short wait ends, in ms.

    Parameters
    ----------
    number, domains : int
        Which box, of how many failure domains.
    rng : random.Random
        Draws its partners.
    """

    def __init__(self, number: int, domains: int, rng: random.Random) -> None:
        name, domain = BoxId(f"box-{number:04}"), DomainId(f"d-{number % domains}")
        self.fleet = Fleet(
            identity=Identity(name, domain, f"{name}:1", Incarnation(name))
        )
        self.fleet.catalog = Catalog(1, (), {}, ())
        self.near, self.far = Partners(rng), Partners(rng)
        self.phase = rng.randrange(EXCHANGES_APART)
        self.wait_ends = Millis(-1)

    def meet(self, other: "Box") -> None:
        """Let it know another box."""
        me = other.fleet.identity
        row = PeerRow(me.box, me.address, me.domain, heard=Millis(0))
        self.fleet.peers[me.box] = row

    def whom_to_ask(self, now: Millis, *, cut: bool) -> set[BoxId]:
        """Return the peers of this round."""
        peers = list(self.fleet.peers.values())
        near = [row for row in peers if row.domain == self.fleet.identity.domain]
        far = [row for row in peers if row.domain != self.fleet.identity.domain]
        asked = self.near.draw(near, 1, now)
        asked += [] if cut else self.far.draw(far, 1, now)
        for row in asked:
            row.asked = now
        reader = find_list_reader(self.fleet, now)
        return {row.box for row in asked} | ({reader} - {self.fleet.identity.box})

    def hear(self, other: "Box", now: Millis) -> None:
        """Take in what another box tells."""
        self.fleet.peers[other.fleet.identity.box].heard = now
        merge_peer_proof(self.fleet, 1, other.fleet.catalog_proof)

    def tick(self, now: Millis, bound_ms: int) -> int:
        """Prove the catalog where that is due; return the calls it took."""
        due = 0 <= self.wait_ends <= now
        first = is_fleet_prober(self.fleet, now, bound_ms)
        if first and (due or self.wait_ends < 0):
            self.wait_ends = Millis(now + int(WAIT_PART * bound_ms))
        elif not first:
            self.wait_ends = Millis(-1)
        if due or must_probe(self.fleet, now, bound_ms):
            record_catalog_read(self.fleet, now, Offset(0))
            return 1
        return 0


class Outcome(t.NamedTuple):
    """Calls a second of all boxes, and ages of proofs at any box, in ms."""

    calls_per_s: float
    median_ms: int
    oldest_ms: int


def play(
    boxes: int, domains: int, bound_ms: int, seconds: int, seed: int, *, cut: bool
) -> Outcome:
    """Play a fleet and return what its proofs cost."""
    rng = random.Random(seed)
    fleet = [Box(number, domains, rng) for number in range(boxes)]
    by_name = {box.fleet.identity.box: box for box in fleet}
    for box in fleet:
        for other in fleet:
            if other is not box and (not cut or _are_near(box, other)):
                box.meet(other)
        record_catalog_read(box.fleet, Millis(0), Offset(0))
    calls, ages = 0, []
    for number in range((WARM_MS + 1_000 * seconds) // LOOK_MS):
        now = Millis(number * LOOK_MS)
        for box in fleet:
            if number % EXCHANGES_APART == box.phase:
                for name in box.whom_to_ask(now, cut=cut):
                    by_name[name].hear(box, now)
                    box.hear(by_name[name], now)
        made = sum(box.tick(now, bound_ms) for box in fleet)
        if now >= WARM_MS:
            calls += made
            ages += [proof_age(box.fleet, now) for box in fleet]
    ages.sort()
    return Outcome(calls / seconds, ages[len(ages) // 2], ages[-1])


def _are_near(one: Box, other: Box) -> bool:
    return one.fleet.identity.domain == other.fleet.identity.domain


@cappa.command(name="proofs", help="What proofs of the newest catalog cost.")
@dataclass
class ProofCommand:
    """Arguments."""

    seconds: t.Annotated[int, cappa.Arg(long=True, help="Each play, in s.")] = 30
    seed: t.Annotated[int, cappa.Arg(long=True, help="The seed.")] = 1


def main() -> None:
    """Play fleets of several sizes and print what their proofs cost."""
    args = cappa.parse(ProofCommand)
    for boxes, domains, bound_ms in ((6, 3, 2_000), (60, 3, 3_000), (300, 12, 3_000)):
        for cut in (False, True):
            found = play(boxes, domains, bound_ms, args.seconds, args.seed, cut=cut)
            print(
                f"{boxes} boxes in {domains} domains{', cut' if cut else ''}, bound "
                f"{bound_ms} ms: {found.calls_per_s:.1f} calls/s, proofs "
                f"{found.median_ms} ms old in the median, {found.oldest_ms} at most"
            )


if __name__ == "__main__":
    main()
