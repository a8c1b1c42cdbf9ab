"""Planning of one attempt: service, version, model and worker, by the current tables.

Each attempt is planned anew, so that repeats respect a leaving worker and a verdict on
a version, too. An admitted request stays admitted: a route or credential that an
operator removes meanwhile does not interrupt it.
"""

import msgspec
from result import Err
from result import Ok
from result import Result

from .catalog_state import CatalogAttempt
from .catalog_state import CatalogRequest
from .catalog_state import Core
from .ids import Fingerprint
from .ids import Millis
from .ids import ModelId
from .ids import ServiceId
from .ids import WorkerId
from .keeping_back import quarantine_refusal
from .logs import log_event
from .refusals import Problem
from .refusals import Refusal
from .refusals import Run
from .systems.admitting import steps_below_highest
from .systems.arrivals import record_request
from .systems.attributing import suspect_fingerprints
from .systems.brittleness import lacks_place
from .systems.cascading import EscalationProspect
from .systems.cascading import plan_models
from .systems.cascading import record_engine_gain
from .systems.demand import record_arrival
from .systems.estimating import FirstEventEstimate
from .systems.estimating import Prompt
from .systems.estimating import prefill_speed
from .systems.load_trials import is_loaded
from .systems.placing import Placement
from .systems.placing import PlacementRequest
from .systems.placing import candidate_workers
from .systems.placing import choose_worker
from .systems.placing import earliest_first_event_ms
from .systems.placing import full_uploads
from .systems.placing import throttle_wait_ms
from .systems.placing import throttled_workers
from .systems.quarantine_trials import may_send_feature
from .systems.queueing import may_begin_in_time
from .systems.ramping import VersionRule
from .systems.ramping import version_rule_for
from .systems.returning import RefusedCall
from .systems.returning import return_after_ms
from .systems.silence import silent_workers
from .systems.throttling import has_limited_workers
from .systems.work_times import usual_work_ms
from .systems.worker_room import has_free_slots_everywhere
from .tables.catalog import RequestKind
from .tables.catalog import RouteRow
from .tables.catalog import ServiceRow
from .tables.workers import WorkerRow
from .utils import unit_hash
from .worker_notices import describe_notices

RETRY_LATENCY_FRACTION = 0.2
"""Time after which a refused caller may retry, as a fraction of the route's target
latency: the retry must still be able to meet that target."""

MIN_RETRY_MS, MAX_RETRY_MS = 60, 1_000
"""Bounds of that time, in ms."""

MAX_THROTTLE_WAIT_MS = 3_000
"""Maximum wait that a refusal states for workers that this box throttles, in ms: among
many boxes another one may send sooner, and a caller may retry at any of them."""


def plan_attempt(core: Core, state: CatalogRequest) -> Result[CatalogAttempt, Refusal]:
    """Choose service, version, model and worker for the next attempt."""
    refusal = _quarantine_refusal(core, state)
    if refusal is not None:
        return Err(refusal)
    service = _draw_service(core, state)
    if service is None:
        return Err(
            _no_worker_refusal(core, state, "no service is configured for the route")
        )
    state.service = service.name
    rule = _version_rule(core, state)
    model = _choose_model(core, state, service, rule)
    eager = _is_eager(core, state)
    request = _placement_request(core, state, service, rule, model, eager=eager)
    placed = choose_worker(core.fleet, request, core.clock.now(), core.rng)
    if placed is None:
        return Err(_unplaced_refusal(core, state, request))
    refusal = _late_prompt_refusal(core, state, request, placed)
    if refusal is not None:
        return Err(refusal)
    return Ok(
        CatalogAttempt(
            worker=placed.worker,
            service=service.name,
            model=model,
            load=placed.load,
            report_age_ms=placed.report_age_ms,
            candidates=placed.candidates,
            rule=rule,
            prompt=_build_prompt(state, service, model),
            expected=placed.expected or FirstEventEstimate(),
            passed_over=_describe_throttled(core, request),
            worker_free=has_free_slots_everywhere(core.fleet, service.name),
            time_factor=placed.time_factor,
            loaded=is_loaded(core.fleet, service.name, placed.worker, core.clock.now()),
        )
    )


def plain_service(core: Core, state: CatalogRequest) -> ServiceRow | None:
    """Return the service of a plain request; None for a prompt or if none is drawn."""
    call, route = state.call, state.admitted.route
    if call.tokens.read or call.model or route.kind is RequestKind.STREAM:
        return None
    return _draw_service(core, state)


def plain_candidates(
    core: Core, state: CatalogRequest, service: ServiceRow
) -> list[WorkerRow]:
    """Return the workers of a service that accept a plain request now.

    The request is bound to the service from then on.
    """
    state.service = service.name
    rule = _version_rule(core, state)
    eager = _is_eager(core, state)
    request = _placement_request(core, state, service, rule, ModelId(""), eager=eager)
    request = msgspec.structs.replace(request, ignore_places=True)
    return candidate_workers(core.fleet, request, core.clock.now())


def record_demand(core: Core, state: CatalogRequest) -> None:
    """Count a request that arrives, for its service and as its organisation's demand.

    The latter is not counted while the usual time of its work is unknown.
    """
    service = _draw_service(core, state)
    work_ms = usual_work_ms(core.fleet, state.admitted.route)
    now = core.clock.now()
    if service is not None:
        record_request(core.fleet, service.name, now)
    if service is not None and work_ms > 0.0:
        record_arrival(core.fleet, service.name, state.org, work_ms, now)


def retry_after_ms(core: Core, state: CatalogRequest) -> Millis:
    """Return the time after which to retry, in ms, spread over callers.

    If work waits for room that the service lacks, the caller is told a time at which
    room may have appeared.
    """
    route, now = state.admitted.route, core.clock.now()
    work_ms = usual_work_ms(core.fleet, route)
    refused = RefusedCall(
        service=state.service,
        org=state.org,
        left_ms=state.call.deadline - now,
        whole_ms=route.timeout_ms,
    )
    after_ms = return_after_ms(core.fleet, refused, work_ms, now)
    if after_ms is None:
        return _usual_retry_ms(core, route)
    core.count("returns_told")
    return after_ms


def _usual_retry_ms(core: Core, route: RouteRow) -> Millis:
    """Return the time after which to retry while no work waits, in ms."""
    mean_ms = min(
        MAX_RETRY_MS,
        max(MIN_RETRY_MS, RETRY_LATENCY_FRACTION * route.target_latency_ms),
    )
    return Millis(int(mean_ms * (0.5 + core.rng.random())))


def _late_prompt_refusal(
    core: Core, state: CatalogRequest, request: PlacementRequest, placed: Placement
) -> Refusal | None:
    """Return a refusal if no engine can send a prompt's first event in time.

    A prompt that an engine may have run, and one that is asked of a larger model, are
    sent in any case. So is one whose model's speed is not known from answers, because
    answers are what makes it known.
    """
    expected, prompt = placed.expected, request.prompt
    if expected is None or prompt is None or state.runs or state.escalated:
        return None
    now = core.clock.now()
    left_ms = state.limit - now
    if may_begin_in_time(expected.first_ms, left_ms):
        return None
    if not prefill_speed(core.fleet, prompt.service, prompt.model).answers:
        return None
    earliest_ms = earliest_first_event_ms(core.fleet, request, prompt, now)
    if may_begin_in_time(earliest_ms, left_ms):
        return None
    core.count("refused_too_late")
    log_event(
        "INFO",
        "admission",
        request=state.request,
        route=state.request_class,
        org=state.org,
        service=state.service,
        admission="refuse",
        why="no engine can begin its answer in time",
        workers=[placed.worker.name],
        report_age_ms=placed.report_age_ms,
        model=prompt.model,
        expected_ms=round(earliest_ms),
        left_ms=left_ms,
        waited_ms=0,
    )
    detail = f"no engine of {state.service} can begin the answer in time"
    retry_ms = retry_after_ms(core, state)
    return Refusal(Problem.OVERLOADED, detail, Run.NO, retry_ms)


def _draw_service(core: Core, state: CatalogRequest) -> ServiceRow | None:
    """Draw the service by the route's shares, always the same one for a session."""
    shares = state.admitted.route.shares
    catalog = core.fleet.catalog
    if not shares or catalog is None:
        return None
    name = shares[-1].service
    point = unit_hash("share", state.call.session or state.request)
    point *= sum(share.weight for share in shares)
    for share in shares:
        point -= share.weight
        if point < 0:
            name = share.service
            break
    return catalog.services.get(name) or ServiceRow(ServiceId(name))


def _quarantine_refusal(core: Core, state: CatalogRequest) -> Refusal | None:
    """Return a refusal if one of the request's features is quarantined."""
    fleet, now = core.fleet, core.clock.now()
    for feature in state.features:
        name = feature.fingerprint
        if name in fleet.suspects and not may_send_feature(
            fleet, name, now, under_way=_is_feature_under_way(core, state, name)
        ):
            return quarantine_refusal(state, fleet.suspects[name])
    return None


def _is_feature_under_way(
    core: Core, state: CatalogRequest, fingerprint: Fingerprint
) -> bool:
    """Return whether another request with a feature is in progress here."""
    return any(
        other is not state and other.find_feature(fingerprint)
        for other in core.running.values()
    )


def _workers_with_suspects(core: Core, state: CatalogRequest) -> set[WorkerId] | None:
    """Return the workers that process suspects of this box which the request lacks.

    Returns None if the request has no suspect feature.
    """
    known = core.fleet.suspects
    if not any(feature.fingerprint in known for feature in state.features):
        return None
    suspects = suspect_fingerprints(core.fleet)
    own = _suspect_features(state, suspects)
    if not own:
        return None
    return {
        other.under_way.worker.name
        for other in core.running.values()
        if other.under_way is not None and _suspect_features(other, suspects) - own
    }


def _suspect_features(
    state: CatalogRequest, suspects: set[Fingerprint]
) -> set[Fingerprint]:
    return {feature.fingerprint for feature in state.features} & suspects


def _version_rule(core: Core, state: CatalogRequest) -> VersionRule:
    call = state.call
    return version_rule_for(
        core.fleet,
        state.service,
        call.session,
        call.request,
        core.clock.now(),
        state.admitted.route.name,
        state.failed_versions,
        state.tried,
        state.version if state.events else None,
        last=state.counted_runs + 1 >= state.max_attempts,
    )


def _choose_model(
    core: Core, state: CatalogRequest, service: ServiceRow, rule: VersionRule
) -> ModelId:
    """Return the model to name; empty if the caller named one or none is needed."""
    route, call = state.admitted.route, state.call
    if call.model or not route.models:
        return ModelId("")
    if state.model_plan is None:
        prospect = escalation_prospect(core, state, service, rule)
        record_engine_gain(core.fleet, route, service, call.tokens, prospect.expected)
        state.model_plan = plan_models(
            core.fleet, route, service, call.tokens, prospect
        )
    return state.model_plan.last if state.escalated else state.model_plan.first


def escalation_prospect(
    core: Core,
    state: CatalogRequest,
    service: ServiceRow,
    rule: VersionRule | None = None,
) -> EscalationProspect:
    """Return the expected course of asking the largest model next."""
    rule = _version_rule(core, state) if rule is None else rule
    largest = state.admitted.route.models[-1]
    request = _placement_request(core, state, service, rule, largest, eager=False)
    placed = choose_worker(core.fleet, request, core.clock.now(), core.rng)
    estimate = placed.expected if placed is not None else None
    spent_ms = core.clock.now() - state.began
    return EscalationProspect(
        estimate or FirstEventEstimate(), spent_ms, possible=placed is not None
    )


def _build_prompt(
    state: CatalogRequest, service: ServiceRow, model: ModelId
) -> Prompt | None:
    call = state.call
    named = model or call.model
    if not named or not call.tokens.read:
        return None
    return Prompt(service, named, call.tokens.read, call.shared_parts)


def _placement_request(
    core: Core,
    state: CatalogRequest,
    service: ServiceRow,
    rule: VersionRule,
    model: ModelId,
    *,
    eager: bool,
) -> PlacementRequest:
    fleet, route = core.fleet, state.admitted.route
    return PlacementRequest(
        service=state.service,
        rule=rule,
        domain=fleet.identity.domain,
        prompt=_build_prompt(state, service, model),
        target_latency_ms=route.target_latency_ms,
        tried=state.tried,
        allow_tried=route.repeatable,
        silent=silent_workers(fleet, core.clock.now()),
        eager=eager,
        regions=state.admitted.regions,
        workers_with_suspects=_workers_with_suspects(core, state),
        full=state.full_workers,
        body_bytes=len(state.call.body),
    )


def _is_eager(core: Core, state: CatalogRequest) -> bool:
    """Return whether a request may take a grant of a rate-limited worker at once.

    If grants are scarce, urgent requests are served more often, but no priority is
    starved: one request in two of the priority below the service's highest may take a
    grant at once, one in three of the next, and so on. An escalation to a larger model
    never may, as another caller could use the grant.
    """
    fleet = core.fleet
    if fleet.catalog is None or not has_limited_workers(fleet, state.service):
        return True
    if state.escalated:
        return False
    below = steps_below_highest(fleet, state.service, state.admitted.priority)
    return unit_hash("grant", state.request) * (1 + below) < 1


def _describe_throttled(core: Core, request: PlacementRequest) -> tuple[str, ...]:
    """Return the throttled workers and their notices, for the log."""
    now = core.clock.now()
    return describe_notices(throttled_workers(core.fleet, request, now), now)


def _unplaced_refusal(
    core: Core, state: CatalogRequest, request: PlacementRequest
) -> Refusal:
    """Return the refusal of a request for which no worker was chosen."""
    fleet, now = core.fleet, core.clock.now()
    rows = throttled_workers(fleet, request, now)
    if not rows and full_uploads(fleet, request, now):
        core.count("uploads_refused")
        detail = f"bodies on the way fill the workers of {request.service} now"
        return _no_worker_refusal(core, state, detail)
    if not rows:
        if lacks_place(fleet, request.service, now):
            core.count("refused_brittle")
            detail = f"no place is free at the brittle workers of {request.service}"
            return _no_worker_refusal(core, state, detail)
        detail = f"no worker of {request.service} accepts requests now"
        return _no_worker_refusal(core, state, detail)
    core.count("refused_held_off")
    wait_ms = min(throttle_wait_ms(fleet, row, request, now) for row in rows)
    notices = "; ".join(describe_notices(rows, now))
    detail = f"no worker of {request.service} accepts more requests now: {notices}"
    return _no_worker_refusal(core, state, detail, min(MAX_THROTTLE_WAIT_MS, wait_ms))


def _no_worker_refusal(
    core: Core, state: CatalogRequest, detail: str, wait_ms: int = 0
) -> Refusal:
    retry_ms = Millis(wait_ms + retry_after_ms(core, state))
    return Refusal(Problem.NO_WORKER, detail, retry_ms=retry_ms)
