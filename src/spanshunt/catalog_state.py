"""Requests of the platform's catalog under way, and what all of them share."""

import random
import typing as t

import msgspec

from .clock import Clock
from .histograms import Histograms
from .ids import Fingerprint
from .ids import Millis
from .ids import RequestId
from .ids import ServiceId
from .ids import VersionId
from .ports import Call
from .ports import Send
from .request_state import Attempt
from .request_state import RequestState
from .settling import Counter
from .systems.admitting import Admission
from .systems.cascading import ModelPlan
from .systems.estimating import FirstEventEstimate
from .systems.estimating import Prompt
from .systems.ramping import VersionRule
from .systems.repeats import RepeatBounds
from .tables.fleet import Fleet
from .worker_probes import Probe


class CatalogAttempt(Attempt, kw_only=True):
    """One send of a request of the catalog.

    Attributes
    ----------
    service : str
        The service that the worker answers for.
    load : float
        The worker's estimated load, in parts of its batch.
    report_age_ms : int
        Age of the report that the estimate rests on; -1 for none.
    candidates : int
        Workers that the choice was among.
    rule : VersionRule
        Which versions might answer, and why.
    prompt : Prompt or None
        The prompt that the engine processes; None for plain requests.
    expected : FirstEventEstimate
        What it was expected to meet there.
    passed_over : tuple of str
        Workers that were left out for a limit or a rest of theirs, for the log.
    slow : bool
        Whether it was found several times slower than usual.
    first_at : int
        When its first events went on to the caller, in ms; -1 for never.
    gaps : int
        Events that went on after these.
    answered : bool
        Whether the head of an answer came.
    repeat : bool
        Whether it counts as an arrival beyond the first of its request.
    """

    service: ServiceId
    load: float
    report_age_ms: int
    candidates: int
    rule: VersionRule = VersionRule()
    prompt: Prompt | None = None
    expected: FirstEventEstimate = FirstEventEstimate()
    passed_over: tuple[str, ...] = ()
    slow: bool = False
    first_at: Millis = Millis(-1)
    gaps: int = 0
    answered: bool = False
    repeat: bool = False


class CatalogRequest(RequestState, kw_only=True):
    """A request of the catalog.

    Attributes
    ----------
    call, admitted
        The request, its route and its organisation.
    fingerprint : str
        Its content.
    service : str
        The service that answers; drawn once.
    model_plan : ModelPlan or None
        The models planned, where the choice is the system's.
    raised : bool
        Whether the larger model is to be asked.
    failed_versions : set
        Versions that failed it.
    last_event : int or None
        The last whole event that the caller has.
    """

    call: Call
    admitted: Admission
    fingerprint: Fingerprint = Fingerprint("")
    service: ServiceId = ServiceId("")
    model_plan: ModelPlan | None = None
    raised: bool = False
    failed_versions: set[VersionId] = msgspec.field(default_factory=set)
    last_event: int | None = None


async def _know_nothing() -> None:
    """Leave what is known as it is."""


class Core(msgspec.Struct):
    """What all requests of the catalog share; wired once.

    Attributes
    ----------
    clock, rng
        The only sources of time and chance.
    fleet : Fleet
        The tables.
    send : callable
        Sends to workers.
    bounds : RepeatBounds
        What may be repeated.
    histograms : Histograms
        Times by organisation and class.
    count : callable
        Counts outcomes.
    running : dict
        Requests under way, by id.
    probe : callable
        Finds out whether a worker is still there.
    tell_now : callable
        Tells peers at once what this box learned.
    recall : callable
        Reads what is kept back from the store, where no peer can tell.
    look : callable
        Looks whether the box was suspended.
    prove : callable
        Finds out whether the catalog is the newest, for all that ask at once.
    in_force_ms : int
        Within which a change of the operators must be in force, in ms.
    fingerprint_key : str
        What digests of requests' contents are keyed with.
    """

    clock: Clock
    rng: random.Random
    fleet: Fleet
    send: Send
    bounds: RepeatBounds
    histograms: Histograms
    count: Counter
    probe: Probe
    tell_now: t.Callable[[], None] = lambda: None
    recall: t.Callable[[], t.Awaitable[None]] = _know_nothing
    look: t.Callable[[], None] = lambda: None
    prove: t.Callable[[], t.Awaitable[None]] = _know_nothing
    in_force_ms: Millis = Millis(2_000)
    fingerprint_key: str = ""
    running: dict[RequestId, CatalogRequest] = {}
