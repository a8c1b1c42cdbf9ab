"""The identity of a daemon."""

import msgspec

from ..ids import BoxId
from ..ids import DomainId
from ..ids import Incarnation


class Identity(msgspec.Struct, frozen=True):
    """Identity of this daemon; ``address`` is where its peers reach it."""

    box: BoxId
    domain: DomainId
    address: str
    incarnation: Incarnation
