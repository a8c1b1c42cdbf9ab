"""Rows about the speed of one worker against the other workers of its service."""

import msgspec

from ..ids import Millis


class WorkerSpeed(msgspec.Struct):
    """How much time one run of a worker takes, as multiples of its service's usual.

    Attributes
    ----------
    usual_factor : float
        Time that the worker usually takes, as a multiple of what its service usually
        takes; above 1 for a slow worker. 1 while nothing is known.
    answers : int
        Number of answers that this factor is based on.
    slowdown : float
        Time that work takes there now, as a multiple of what the worker usually takes,
        by its newest report; 1 if it reports none.
    slowdown_at : int
        When that report was made, in ms; -1 for never.
    slow : bool
        Whether the worker counts as usually slow, for logs.
    """

    usual_factor: float = 1.0
    answers: int = 0
    slowdown: float = 1.0
    slowdown_at: Millis = Millis(-1)
    slow: bool = False
