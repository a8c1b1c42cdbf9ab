"""Notices that backend servers send about themselves in their answer headers."""

import enum

import msgspec

from ..ids import BoxId
from ..ids import Millis


class NoticeKind(enum.Enum):
    """Kinds of notices that a worker sends about itself."""

    NOT_RUN = "not run"
    LIMIT = "limit"
    LEAVING = "leaving"
    REST = "rest"
    LOAD = "load"
    BRITTLE = "brittle"


class InvalidNotice(msgspec.Struct, frozen=True):
    """An invalid notice: its kind, the value found and the values allowed."""

    kind: NoticeKind
    detail: str


class Notice(msgspec.Struct, frozen=True):
    """All notices of a worker about itself in one answer, apart from its load.

    Attributes
    ----------
    per_s : float or None
        Requests a second that the worker takes from all boxes together; None if the
        answer names no valid limit.
    leaving : bool
        Whether the worker announces that it leaves.
    rest_ms : int or None
        How long the box whose request was turned away must send nothing to the worker,
        in ms; None if the answer does not ask for it.
    brittle_per_s : float or None
        Requests a second, of all boxes together, above which the worker falls over if
        it turns them away; None if the answer names no valid number.
    invalid : tuple of InvalidNotice
        Notices that are invalid.
    """

    per_s: float | None = None
    leaving: bool = False
    rest_ms: Millis | None = None
    brittle_per_s: float | None = None
    invalid: tuple[InvalidNotice, ...] = ()

    def is_invalid(self, kind: NoticeKind) -> bool:
        """Return whether the notice of this kind is present and invalid."""
        return any(notice.kind is kind for notice in self.invalid)


class RateLimit(msgspec.Struct, frozen=True):
    """The newest rate limit that a worker has announced.

    Attributes
    ----------
    per_s : float or None
        Requests a second from all boxes together; None once the worker names no limit
        any more.
    at : int
        When the notice arrived, in ms.
    source : str
        The box that received the notice.
    """

    per_s: float | None
    at: Millis
    source: BoxId


class LeavingNotice(msgspec.Struct, frozen=True):
    """A worker's notice that it leaves: when it first arrived, in ms, at which box."""

    at: Millis
    source: BoxId


class RestPeriod(msgspec.Struct, frozen=True):
    """The rest that a worker asked this box for: its start and end, in ms."""

    at: Millis
    until: Millis


class RateLimiter(msgspec.Struct):
    """Limiter for this box's requests to a worker that names a rate limit.

    Attributes
    ----------
    next_grant_at : float
        When the oldest unused grant becomes or became valid, in ms.
    period_ms : float
        Time between two grants, in ms.
    """

    next_grant_at: float
    period_ms: float
