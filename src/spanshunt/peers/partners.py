"""Which peers a box exchanges news with: a few at a time, others as time goes on.

Streams to peers stay open, so a box talks to the same few for a while. It draws one of
them for each round, so that within two seconds it has heard from most of them, and lets
one go for another now and then, so that any two boxes meet.
"""

import random

from ..ids import BoxId
from ..ids import Millis
from ..tables.fleet import PeerRow

PARTNERS_MOST = 6
"""Peers that a box keeps streams to, of its own failure domain and of others each: with
those that chose it, it hears from some twenty within two seconds, as a box does that
draws among all. An open stream takes about 60 KB on both sides together."""

TURN_MS = 6_000
"""How often one of them gives way to another, in ms: a new stream costs as much as six
exchanges, and a box of 91 meets all others of its domain within some minutes."""


class Partners:
    """The peers of one kind that a box exchanges news with.

    Parameters
    ----------
    rng : random.Random
        Draws them.
    """

    def __init__(self, rng: random.Random) -> None:
        self.boxes: set[BoxId] = set()
        self._rng = rng
        self._turned_at = Millis(0)

    def draw(self, ready: list[PeerRow], count: int, now: Millis) -> list[PeerRow]:
        """Return partners to talk to now, at most `count`, of the peers that may be.

        They take turns: each is heard again within as many rounds as there are.
        """
        known = {peer.box: peer for peer in ready}
        self.boxes &= known.keys()
        if now >= self._turned_at + TURN_MS and self.boxes:
            self._turned_at = now
            self.boxes.remove(self._rng.choice(sorted(self.boxes)))
        others = sorted(known.keys() - self.boxes)
        missing = PARTNERS_MOST - len(self.boxes)
        self.boxes.update(self._rng.sample(others, min(missing, len(others))))
        drawn = [known[box] for box in sorted(self.boxes)]
        self._rng.shuffle(drawn)
        return sorted(drawn, key=lambda peer: peer.asked)[:count]
