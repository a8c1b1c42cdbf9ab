"""Input and result of the choice of a version."""

import enum

import msgspec

from ..ids import ClassId
from ..ids import OrgId
from ..ids import ServiceId
from ..ids import VersionId


class Rule(enum.Enum):
    """Reason why a version was chosen.

    The names and values appear in log lines and replies. "With confidence" there means
    that the lower bound of the estimated quality meets the target; "sure" refers to the
    confidence that an engine reports with its answer. ``EXPLORE`` is the rule of a
    trial, ``CASCADE`` that of a cascade between versions (see `preferring`).
    """

    ASKED = "asked for by name"
    SESSION = "the session is on it"
    CHEAPEST = "cheapest that meets the target with confidence"
    BEST = "none meets the target with confidence yet; the best known"
    EXPLORE = "cheaper and may meet the target; on trial for a few requests"
    ROLLOUT = "entering service; this request is in its share"
    CASCADE = "cheaper; its answer is kept if the engine is sure of it"


class Exclusion(msgspec.Struct, frozen=True):
    """A version that was not chosen, and the reason."""

    version: VersionId
    reason: str


class Choice(msgspec.Struct, frozen=True):
    """The version chosen for a request.

    Attributes
    ----------
    version : str
        The version.
    rule : Rule
        Reason for the choice.
    rate : float
        Probability with which the answer is sent for rating.
    fallback : str
        The version to ask if `version` is the first of a cascade and its engine is not
        sure of the answer; empty without a cascade.
    excluded : tuple of Exclusion
        The versions that were excluded, with reasons.
    """

    version: VersionId
    rule: Rule
    rate: float
    fallback: VersionId = VersionId("")
    excluded: tuple[Exclusion, ...] = ()


class NoVersion(msgspec.Struct, frozen=True):
    """Result when no version may answer the request."""

    excluded: tuple[Exclusion, ...]


class VersionRequest(msgspec.Struct, frozen=True):
    """Properties of a request that the choice of a version depends on.

    Attributes
    ----------
    service, request_class, org : str
        Service, class and organisation of the request.
    named : str
        Model or version that the caller named; empty for any.
    pin : str
        Version that the session is pinned to; empty for none.
    draw_key : str
        Key of the draws for roll-outs and trials: the session, or else the request.
    """

    service: ServiceId
    request_class: ClassId
    org: OrgId
    named: str = ""
    pin: VersionId = VersionId("")
    draw_key: str = ""
