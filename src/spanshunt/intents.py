"""Intents: what an operator asks for. The planner answers each with a plan."""

import typing as t

import msgspec

from .tables.config import GuardRails
from .tables.config import Limits
from .tables.config import Name
from .tables.config import RequestClass
from .tables.config import ServiceKind
from .tables.config import Share
from .tables.config import VersionName

Secret = t.Annotated[str, msgspec.Meta(min_length=12, max_length=200)]
Allowed = t.Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[a-z0-9][a-z0-9._-]*(@[a-z0-9][a-z0-9._-]*)?$", max_length=200
    ),
]
Price = t.Annotated[int, msgspec.Meta(ge=0)]


class _Intent(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="do"):
    pass


class DeclareService(_Intent, frozen=True, tag="declare_service"):
    """Let a service exist, with its request classes."""

    service: Name
    kind: ServiceKind
    classes: tuple[RequestClass, ...] = (RequestClass("default"),)
    repeatable: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    call_price: Price = 0


class DeclareVersion(_Intent, frozen=True, tag="declare_version"):
    """Let a version exist. With ``active`` it is in service at once, unstaged."""

    version: VersionName
    service: Name
    prompt_price: Price = 0
    output_price: Price = 0
    active: bool = False


class DeclareOrg(_Intent, frozen=True, tag="declare_org"):
    """Let an organisation exist, with what it may use."""

    org: Name
    allowed: tuple[Allowed, ...] = ()
    credentials: tuple[Secret, ...] = ()
    limits: Limits = Limits()


class AllowVersions(_Intent, frozen=True, tag="allow"):
    """Let an organisation use services, models or versions."""

    org: Name
    allowed: tuple[Allowed, ...]


class DisallowVersions(_Intent, frozen=True, tag="disallow"):
    """Take services, models or versions from an organisation."""

    org: Name
    allowed: tuple[Allowed, ...]


class SetCredentials(_Intent, frozen=True, tag="credentials"):
    """Replace an organisation's credentials; give two to change without a gap."""

    org: Name
    credentials: tuple[Secret, ...]


class SetLimits(_Intent, frozen=True, tag="limits"):
    """Replace an organisation's limits."""

    org: Name
    limits: Limits


class SetQuality(_Intent, frozen=True, tag="quality"):
    """Set the quality that a class of a service must reach, for one or for all.

    With an empty ``org`` it holds for each organisation that has none of its own.
    """

    service: Name
    request_class: Name
    target: Share
    org: str = ""


class EnterVersion(_Intent, frozen=True, tag="enter"):
    """Let a version enter service in stages, inside guard rails."""

    version: VersionName
    guards: GuardRails | None = None


class LeaveVersion(_Intent, frozen=True, tag="withdraw"):
    """Withdraw a version."""

    version: VersionName


Intent = (
    DeclareService
    | DeclareVersion
    | DeclareOrg
    | AllowVersions
    | DisallowVersions
    | SetCredentials
    | SetLimits
    | SetQuality
    | EnterVersion
    | LeaveVersion
)


class IntentDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One or more intents that are planned and confirmed together."""

    intents: t.Annotated[tuple[Intent, ...], msgspec.Meta(min_length=1)]
