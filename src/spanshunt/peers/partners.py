"""Choice of the peers that a box exchanges news with.

Streams to peers stay open, so a box keeps the same few partners for a while. It draws
one of them in each round, so that it hears from most of them within two seconds, and it
regularly replaces one, so that any two boxes become partners in time.
"""

import random

from ..ids import BoxId
from ..ids import Millis
from ..tables.fleet import PeerRow

MAX_PARTNERS = 6
"""Maximum number of peers that a box keeps streams to, in its own failure domain and in
the others each. Together with the boxes that chose it, a box then hears from about
twenty within two seconds, as many as with a draw among all peers. An open stream takes
about 60 KB of memory, both sides together."""

REPLACE_AFTER_MS = 6_000
"""How often one partner is replaced, in ms. A new stream costs as much as six
exchanges; at this interval, a box of a domain of 91 exchanges news with all others
within some minutes."""


class Partners:
    """Partners of a box, either in its own failure domain or in the others.

    Parameters
    ----------
    rng : random.Random
        Random generator that draws the partners.

    Attributes
    ----------
    boxes : set of str
        The current partners.
    """

    def __init__(self, rng: random.Random) -> None:
        self.boxes: set[BoxId] = set()
        self._rng = rng
        self._replaced_at = Millis(0)

    def draw(self, candidates: list[PeerRow], count: int, now: Millis) -> list[PeerRow]:
        """Return at most `count` partners to call now, all of them from `candidates`.

        The partners called longest ago come first, so with one call in a round each
        partner is called once in as many rounds as there are partners.
        """
        known = {peer.box: peer for peer in candidates}
        self.boxes &= known.keys()
        if now >= self._replaced_at + REPLACE_AFTER_MS and self.boxes:
            self._replaced_at = now
            self.boxes.remove(self._rng.choice(sorted(self.boxes)))
        others = sorted(known.keys() - self.boxes)
        missing = MAX_PARTNERS - len(self.boxes)
        self.boxes.update(self._rng.sample(others, min(missing, len(others))))
        drawn = [known[box] for box in sorted(self.boxes)]
        self._rng.shuffle(drawn)
        return sorted(drawn, key=lambda peer: peer.asked)[:count]
