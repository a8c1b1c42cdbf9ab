"""Outcomes of calls to the platform."""

import enum

import msgspec


class Fault(enum.Enum):
    """Why a call gave no answer.

    ``NOT_DONE`` is certain: the call had no effect. ``UNKNOWN`` is not: the call may
    have taken effect, and only reading can tell.
    """

    NOT_DONE = "not_done"
    UNKNOWN = "unknown"
    DROPPED = "dropped"


class PlatformFault(msgspec.Struct, frozen=True):
    """A call to the platform that gave no answer.

    Attributes
    ----------
    fault : Fault
        What is known of its effect.
    detail : str
        For logs.
    first : int
        With ``DROPPED``, the first offset that the log still holds.
    """

    fault: Fault
    detail: str
    first: int = 0
