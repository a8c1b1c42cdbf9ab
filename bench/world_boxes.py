"""Boxes of the small world, what is under way between them, and operators' changes."""

import typing as t

import msgspec

from spanshunt.ids import BoxId
from spanshunt.ids import DomainId
from spanshunt.ids import Incarnation
from spanshunt.ids import Millis
from spanshunt.ids import RequestId
from spanshunt.intents import AllowVersions
from spanshunt.intents import DeclareOrg
from spanshunt.intents import DeclareService
from spanshunt.intents import DeclareVersion
from spanshunt.intents import DisallowVersions
from spanshunt.intents import Intent
from spanshunt.intents import LeaveVersion
from spanshunt.peers.messages import ExchangeAnswer
from spanshunt.tables.config import RequestClass
from spanshunt.tables.config import ServiceKind
from spanshunt.tables.identity import Identity
from spanshunt.tables.state import State
from spanshunt.tables.state import new_state

BASE_INTENTS: tuple[Intent, ...] = (
    DeclareService("s", ServiceKind.MODEL, (RequestClass("default", 0.0),)),
    DeclareService("ledger", ServiceKind.PLAIN),
    DeclareVersion("cheap@1", "s", 1, 1, active=True),
    DeclareVersion("dear@1", "s", 9, 9, active=True),
    DeclareOrg("org", ("cheap", "dear", "ledger")),
)
"""What every world begins with."""


class Box:
    """One box: its tables, and what the world does to it."""

    def __init__(self, name: str, domain: str, run: int, now: int) -> None:
        incarnation = Incarnation(f"{name}.{run:06d}")
        me = Identity(BoxId(name), DomainId(domain), name, incarnation)
        self.state: State = new_state(me, Millis(now))
        self.state.fresh_at = Millis(-1)
        self.paused = False
        self.billed_at = now
        self.waiting: dict[str, RequestId] = {}


class Message(t.NamedTuple):
    """An answer under way, with the time at which the exchange was begun."""

    to: str
    got: ExchangeAnswer
    sent: int
    run: str


class Accepted(t.NamedTuple):
    """A configuration that an operator was told is accepted."""

    offset: int
    at: int


def change(number: int) -> Intent:
    """Return one of the changes that operators make."""
    version = f"cheap@{number % 7 + 2}"
    changes: tuple[Intent, ...] = (
        DeclareVersion(version, "s", 1, 1, active=True),
        LeaveVersion(f"cheap@{number % 7 + 1}"),
        DisallowVersions("org", ("cheap",)),
        AllowVersions("org", ("cheap",)),
    )
    return changes[number % len(changes)]


_M = t.TypeVar("_M")


def over_the_wire(message: _M, kind: type[_M]) -> _M:
    """Encode and decode, as between processes, so that no row is shared."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=kind)
