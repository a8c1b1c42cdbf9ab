"""What is asked of a choice, and what it answers."""

import enum

import msgspec

from ..ids import ClassId
from ..ids import OrgId
from ..ids import ServiceId
from ..ids import VersionId


class Rule(enum.Enum):
    """Why a version was chosen."""

    ASKED = "asked for by name"
    SESSION = "the session is on it"
    CHEAPEST = "cheapest that meets the target with confidence"
    BEST = "none meets the target with confidence yet; the best known"
    EXPLORE = "cheaper and may meet the target; on trial for a few requests"
    ROLLOUT = "entering service; this request is in its share"
    CASCADE = "cheaper; its answer is kept if the engine is sure of it"


class Exclusion(msgspec.Struct, frozen=True):
    """A version that was not chosen, and why."""

    version: VersionId
    reason: str


class Choice(msgspec.Struct, frozen=True):
    """A version for a request.

    Attributes
    ----------
    version : str
        The version.
    rule : Rule
        Why.
    rate : float
        The chance with which its answer is sent to be rated.
    fallback : str
        The version to ask when a cascade's answer is not good enough; empty for none.
    excluded : tuple of Exclusion
        Why not the others.
    """

    version: VersionId
    rule: Rule
    rate: float
    fallback: VersionId = VersionId("")
    excluded: tuple[Exclusion, ...] = ()


class NoVersion(msgspec.Struct, frozen=True):
    """No version may answer the request."""

    excluded: tuple[Exclusion, ...]


class Asked(msgspec.Struct, frozen=True):
    """What a request asks for.

    Attributes
    ----------
    service, request_class, org : str
        Where it belongs.
    named : str
        A model or version that the caller named; empty for any.
    pin : str
        The version that its session is on; empty for none.
    draw_key : str
        The session, else the request: what draws for roll-outs and trials go by.
    """

    service: ServiceId
    request_class: ClassId
    org: OrgId
    named: str = ""
    pin: VersionId = VersionId("")
    draw_key: str = ""
