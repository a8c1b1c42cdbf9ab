"""State of catalog requests in progress, and the dependencies that they share."""

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
from .ids import WorkerId
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
from .tables.rollouts import Tally
from .tables.suspects import RequestFeature
from .worker_probes import Probe


class CatalogAttempt(Attempt, kw_only=True):
    """One attempt of a catalog request.

    Attributes
    ----------
    service : str
        The service that the worker belongs to.
    load : float
        The worker's estimated load, as a fraction of its batch.
    report_age_ms : int
        Age of the load report behind the estimate, in ms; -1 for none.
    candidates : int
        Number of workers that the choice was made from.
    rule : VersionRule
        Which versions may answer, and why.
    prompt : Prompt or None
        The prompt that the engine processes; None for plain requests.
    expected : FirstEventEstimate
        Estimate of the time to the first event there.
    passed_over : tuple of str
        Workers left out because of a rate limit or a rest, for the log.
    slow : bool
        Whether the attempt was found several times slower than usual.
    first_event_at : int
        When the first events were relayed to the caller, in ms; -1 for never.
    parts_cleared : bool
        Whether the stream has gone on for so long that its prompt's parts are cleared.
    gaps : int
        Number of events relayed after these.
    answered : bool
        Whether the head of an answer arrived.
    indirect : bool
        Whether a peer passes the answer on, so that its times tell nothing of the
        worker.
    break_tally : Tally or None
        What a broken connection counts as for the version, once it is known that the
        worker could be reached; None if no connection broke.
    worker_free : bool
        Whether all workers of the service were believed to have a free slot when this
        was planned.
    repeat : bool
        Whether the attempt counts as an arrival beyond the first of its request.
    time_factor : float
        Time that work takes at the worker, against its service's usual, as it was known
        when the worker was chosen.
    loaded : bool
        Whether the worker counted as loaded when it was chosen, while a roll-out runs.
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
    first_event_at: Millis = Millis(-1)
    parts_cleared: bool = False
    gaps: int = 0
    answered: bool = False
    indirect: bool = False
    break_tally: Tally | None = None
    worker_free: bool = False
    repeat: bool = False
    time_factor: float = 1.0
    loaded: bool = False


class CatalogRequest(RequestState, kw_only=True):
    """A request for a route of the catalog.

    Attributes
    ----------
    call, admitted
        The request, its route and its organisation.
    features : tuple of RequestFeature
        Its content and the shared parts of its prompt.
    service : str
        The service that answers, drawn by the route's shares and a hash of the session,
        or else of the request id, so that all attempts get the same service.
    model_plan : ModelPlan or None
        The planned models; None if the caller named one or none is needed.
    escalated : bool
        Whether the request was escalated to the larger model.
    failed_versions : set
        Versions that failed the request.
    last_event_id : int or None
        Id of the last complete event that the caller received; None for no event.
    full_workers : frozenset of str
        Workers without room for the request when it was last admitted.
    cut_off : bool
        Whether neither this box nor a peer of it had a way to workers.
    """

    call: Call
    admitted: Admission
    features: tuple[RequestFeature, ...] = (RequestFeature(Fingerprint("")),)
    service: ServiceId = ServiceId("")
    model_plan: ModelPlan | None = None
    escalated: bool = False
    failed_versions: set[VersionId] = msgspec.field(default_factory=set)
    last_event_id: int | None = None
    full_workers: frozenset[WorkerId] = frozenset()
    cut_off: bool = False

    @property
    def fingerprint(self) -> Fingerprint:
        """Fingerprint of its content."""
        return self.features[0].fingerprint

    def find_feature(self, fingerprint: Fingerprint) -> RequestFeature | None:
        """Return the feature with a fingerprint; None if the request lacks it."""
        return next(
            (one for one in self.features if one.fingerprint == fingerprint), None
        )


async def _do_nothing() -> None:
    """Default of the optional functions."""


class Core(msgspec.Struct):
    """Dependencies and state that all catalog requests share.

    Attributes
    ----------
    clock, rng
        The only sources of time and randomness.
    fleet : Fleet
        The tables.
    send : callable
        Sends a request to a worker.
    bounds : RepeatBounds
        Bounds of the retry budget.
    histograms : Histograms
        Latencies by organisation and class.
    count : callable
        Increments a counter.
    running : dict
        Requests in progress, by id.
    probe : callable
        Probes whether anything listens at a worker's address.
    gossip_now : callable
        Sends this box's news to its peers at once.
    load_quarantine : callable
        Reads the quarantined features from the store if no peer could tell them.
    check_suspension : callable
        Checks whether the box was suspended.
    prove_catalog : callable
        Checks that the catalog is the newest; concurrent requests share one check.
    in_force_ms : int
        Time within which an operator's change must be in force, in ms.
    fingerprint_key : str
        Key of the fingerprints of contents and prompt parts.
    """

    clock: Clock
    rng: random.Random
    fleet: Fleet
    send: Send
    bounds: RepeatBounds
    histograms: Histograms
    count: Counter
    probe: Probe
    gossip_now: t.Callable[[], None] = lambda: None
    load_quarantine: t.Callable[[], t.Awaitable[None]] = _do_nothing
    check_suspension: t.Callable[[], None] = lambda: None
    prove_catalog: t.Callable[[], t.Awaitable[None]] = _do_nothing
    in_force_ms: Millis = Millis(2_000)
    fingerprint_key: str = ""
    running: dict[RequestId, CatalogRequest] = {}
