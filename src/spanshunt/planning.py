"""The plan of one attempt: service, version, model, worker, on the tables as they are.

Each attempt is planned anew, so that a worker that leaves and a verdict on a version
count for repeats, too. A request stays admitted once it is: what an operator takes away
meanwhile does not cut it.
"""

from result import Err
from result import Ok
from result import Result

from .catalog_state import CatalogAttempt
from .catalog_state import CatalogRequest
from .catalog_state import Core
from .ids import Millis
from .ids import ModelId
from .ids import ServiceId
from .ids import WorkerId
from .keeping_back import kept_back_refusal
from .refusals import Problem
from .refusals import Refusal
from .systems.cascading import EscalationProspect
from .systems.cascading import plan_models
from .systems.cascading import record_engine_gain
from .systems.estimating import FirstEventEstimate
from .systems.estimating import Prompt
from .systems.placing import PlacementRequest
from .systems.placing import choose_worker
from .systems.placing import throttle_wait_ms
from .systems.placing import throttled_workers
from .systems.quarantining import is_suspect
from .systems.quarantining import may_send_content
from .systems.ramping import VersionRule
from .systems.ramping import version_rule_for
from .systems.silence import silent_workers
from .systems.throttling import has_limited_workers
from .tables.catalog import RouteRow
from .tables.catalog import ServiceRow
from .utils import unit_hash
from .worker_notices import words_of

RETRY_AIM_PART = 0.2
"""When to come back after a refusal, as a part of the route's aim: a second try must
have time to be answered in time."""

RETRY_LEAST_MS, RETRY_MOST_MS = 60, 1_000
"""Bounds of the time to come back, in ms."""


HELD_OFF_MOST_MS = 3_000
"""Longest wait that a refusal tells for workers that take no more of this box, in ms:
of many boxes another may send sooner, and a caller comes back to any of them."""


def plan(core: Core, state: CatalogRequest) -> Result[CatalogAttempt, Refusal]:
    """Choose service, version, model and worker for the next attempt."""
    kept = _kept_back(core, state)
    if kept is not None:
        return Err(kept)
    service = _service(core, state)
    if service is None:
        return Err(_no_worker(core, state, "the route names no service"))
    state.service = service.name
    rule = _version_rule(core, state)
    model = _model(core, state, service, rule)
    eager = _is_eager(core, state)
    request = _placement_request(core, state, service, rule, model, eager=eager)
    placed = choose_worker(core.fleet, request, core.clock.now(), core.rng)
    if placed is None:
        return Err(_none_takes(core, state, request))
    return Ok(
        CatalogAttempt(
            worker=placed.worker,
            service=service.name,
            model=model,
            load=placed.load,
            report_age_ms=placed.report_age_ms,
            candidates=placed.candidates,
            rule=rule,
            prompt=_prompt(state, service, model),
            expected=placed.expected or FirstEventEstimate(),
            passed_over=_passed_over(core, request),
        )
    )


def retry_after(core: Core, route: RouteRow) -> Millis:
    """Return when to come back, in ms, spread so that callers don't return at once."""
    middle = min(
        RETRY_MOST_MS, max(RETRY_LEAST_MS, RETRY_AIM_PART * route.target_latency_ms)
    )
    return Millis(int(middle * (0.5 + core.rng.random())))


def _service(core: Core, state: CatalogRequest) -> ServiceRow | None:
    """Draw the service by the route's shares, the same for all of a session."""
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


def _kept_back(core: Core, state: CatalogRequest) -> Refusal | None:
    """Return a refusal if the request's content is kept back."""
    if state.fingerprint not in core.fleet.suspect_requests:
        return None
    now = core.clock.now()
    if may_send_content(
        core.fleet, state.fingerprint, now, under_way=_is_under_way(core, state)
    ):
        return None
    row = core.fleet.suspect_requests[state.fingerprint]
    return kept_back_refusal(row, ran=state.runs > 0)


def _is_under_way(core: Core, state: CatalogRequest) -> bool:
    """Tell whether another request of the same content is under way here."""
    return any(
        other is not state and other.fingerprint == state.fingerprint
        for other in core.running.values()
    )


def _workers_of_suspects(core: Core, state: CatalogRequest) -> set[WorkerId]:
    """Return the workers that other suspected requests of this box are at."""
    return {
        other.under_way.worker.name
        for other in core.running.values()
        if other is not state
        and other.under_way is not None
        and is_suspect(core.fleet, other.fingerprint)
    }


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
    )


def _model(
    core: Core, state: CatalogRequest, service: ServiceRow, rule: VersionRule
) -> ModelId:
    """Return the model to name; empty where the caller named one or none is needed."""
    route, call = state.admitted.route, state.call
    if call.model or not route.models:
        return ModelId("")
    if state.model_plan is None:
        prospect = larger_prospect(core, state, service, rule)
        record_engine_gain(core.fleet, route, service, call.tokens, prospect.expected)
        state.model_plan = plan_models(
            core.fleet, route, service, call.tokens, prospect
        )
    return state.model_plan.last if state.raised else state.model_plan.first


def larger_prospect(
    core: Core,
    state: CatalogRequest,
    service: ServiceRow,
    rule: VersionRule | None = None,
) -> EscalationProspect:
    """Return what asking the largest model next means."""
    rule = _version_rule(core, state) if rule is None else rule
    largest = state.admitted.route.models[-1]
    request = _placement_request(core, state, service, rule, largest, eager=False)
    placed = choose_worker(core.fleet, request, core.clock.now(), core.rng)
    found = placed.expected if placed is not None else None
    spent_ms = core.clock.now() - state.began
    return EscalationProspect(
        found or FirstEventEstimate(), spent_ms, possible=placed is not None
    )


def _prompt(
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
    suspected = is_suspect(fleet, state.fingerprint)
    return PlacementRequest(
        service=state.service,
        rule=rule,
        domain=fleet.identity.domain,
        prompt=_prompt(state, service, model),
        target_latency_ms=route.target_latency_ms,
        tried=state.tried,
        allow_tried=route.repeatable,
        silent=silent_workers(fleet, core.clock.now()),
        eager=eager,
        regions=state.admitted.regions,
        workers_with_suspects=_workers_of_suspects(core, state) if suspected else None,
    )


def _is_eager(core: Core, state: CatalogRequest) -> bool:
    """Tell whether a request may take a limited worker's grant as soon as it opens.

    Where grants are short the more urgent are served more often, and none is starved:
    of the priority next to the most urgent one of the service every second request may,
    of the one after it every third. A larger model's answer is never worth a grant that
    another caller could use.
    """
    fleet, catalog = core.fleet, core.fleet.catalog
    if catalog is None or not has_limited_workers(fleet, state.service):
        return True
    if state.raised:
        return False
    below = state.admitted.priority - catalog.highest_priority.get(state.service, 0)
    return unit_hash("grant", state.request) * (1 + max(0, below)) < 1


def _passed_over(core: Core, request: PlacementRequest) -> tuple[str, ...]:
    """Return for the log which workers' words kept a request from them."""
    now = core.clock.now()
    return words_of(throttled_workers(core.fleet, request, now), now)


def _none_takes(
    core: Core, state: CatalogRequest, request: PlacementRequest
) -> Refusal:
    """Return the refusal of a request that no worker takes now."""
    fleet, now = core.fleet, core.clock.now()
    rows = throttled_workers(fleet, request, now)
    if not rows:
        detail = f"no worker of {request.service} takes work now"
        return _no_worker(core, state, detail)
    core.count("refused_held_off")
    wait_ms = min(throttle_wait_ms(fleet, row, request, now) for row in rows)
    words = "; ".join(words_of(rows, now))
    detail = f"no worker of {request.service} takes more now: {words}"
    return _no_worker(core, state, detail, min(HELD_OFF_MOST_MS, wait_ms))


def _no_worker(
    core: Core, state: CatalogRequest, detail: str, wait_ms: int = 0
) -> Refusal:
    retry_ms = Millis(wait_ms + retry_after(core, state.admitted.route))
    return Refusal(Problem.NO_WORKER, detail, retry_ms=retry_ms)
