"""What the parts of the daemon share, wired once."""

import msgspec

from .clock import Clock
from .metrics import Metrics
from .peers.client import PeerClient
from .settings import Settings
from .tables.state import State


class Parts(msgspec.Struct, frozen=True):
    """What the parts of the daemon share.

    Attributes
    ----------
    settings : Settings
        The box's settings.
    state : State
        The tables.
    clock : Clock
        The source of time.
    peers : PeerClient
        Calls to other boxes.
    metrics : Metrics
        Counters and timers.
    """

    settings: Settings
    state: State
    clock: Clock
    peers: PeerClient
    metrics: Metrics
