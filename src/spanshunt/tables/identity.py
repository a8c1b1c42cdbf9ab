"""Who a daemon is."""

import msgspec

from ..ids import BoxId
from ..ids import DomainId
from ..ids import Incarnation


class Identity(msgspec.Struct, frozen=True):
    """Who this daemon is; ``address`` is where its peers reach it."""

    box: BoxId
    domain: DomainId
    address: str
    incarnation: Incarnation
