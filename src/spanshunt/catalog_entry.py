"""Admission of catalog requests: the route of a request, or the refusal.

A 401 or 404 is final: the caller does not retry. It is sent only if the catalog was
recently proved to be the newest. Otherwise the box checks that first; if it cannot, the
refusal says that the request did not run and when to retry.
"""

import asyncio

from result import Err
from result import Result

from .catalog_state import Core
from .logs import log_event
from .platform_lines import catalog_fields
from .ports import Call
from .ports import Reply
from .refusals import Problem
from .refusals import Refusal
from .systems.admitting import Admission
from .systems.admitting import AdmissionRequest
from .systems.admitting import admit
from .systems.admitting import catalog_wait_ms
from .systems.admitting import unproved_catalog_refusal
from .systems.proving import REFUSAL_PROOF_FRACTION
from .systems.proving import is_catalog_proved

FINAL_PROBLEMS = frozenset({Problem.NOT_FOUND, Problem.BAD_CREDENTIAL})
"""Problems after which a caller does not retry."""

CATALOG_POLL_S = 0.02
"""Interval at which a request checks for the first catalog, in s."""

WAKE_POLL_S = 0.01
"""Interval at which a request that arrives just after a suspension of the box checks
whether the box received news, in s."""


async def admit_call(core: Core, call: Call) -> Result[Admission, Refusal]:
    """Admit a request, or return the refusal."""
    if core.fleet.catalog is None:
        await _await_catalog(core, call)
    await _await_news(core)
    admitted = _admit(core, call)
    if (
        not isinstance(admitted, Err)
        or admitted.err_value.problem not in FINAL_PROBLEMS
    ):
        return admitted
    if _is_proved(core, REFUSAL_PROOF_FRACTION):
        return admitted
    core.count("refusals_checked")
    await core.prove_catalog()
    second = _admit(core, call)
    if not isinstance(second, Err) or _is_proved(core, 1.0):
        return second
    core.count("refusals_checked.unproved")
    return Err(
        unproved_catalog_refusal(core.fleet.catalog, call.deadline - core.clock.now())
    )


def _admit(core: Core, call: Call) -> Result[Admission, Refusal]:
    left_ms = call.deadline - core.clock.now()
    request = AdmissionRequest(call.host, call.path, call.credential, left_ms)
    return admit(core.fleet.catalog, request)


def _is_proved(core: Core, fraction: float) -> bool:
    """Return whether the catalog's proof is at most `fraction` of `in_force_ms` old."""
    return is_catalog_proved(core.fleet, core.clock.now(), fraction * core.in_force_ms)


async def _await_news(core: Core) -> None:
    """Wait for news from a peer or the store just after the box woke up."""
    left_ms = core.fleet.wake_hold_until - core.clock.now()
    for _ in range(int(left_ms / (1_000 * WAKE_POLL_S)) + 1):
        if core.clock.now() >= core.fleet.wake_hold_until:
            return
        await asyncio.sleep(WAKE_POLL_S)


async def _await_catalog(core: Core, call: Call) -> None:
    """Wait for the first catalog while the request can still be served in time."""
    clock = core.clock
    polls = catalog_wait_ms(call.deadline - clock.now()) / (1_000 * CATALOG_POLL_S)
    for _ in range(int(polls)):
        if core.fleet.catalog is not None:
            break
        await asyncio.sleep(CATALOG_POLL_S)
    catalog = core.fleet.catalog
    core.count("requests_held.served" if catalog else "requests_held.not_ready")
    log_event(
        "INFO",
        "held for a catalog",
        request=call.request,
        catalog=catalog.version if catalog else None,
        held_ms=clock.now() - call.began,
    )


async def refuse_call(core: Core, call: Call, reply: Reply, refusal: Refusal) -> None:
    """Send, count and log the refusal of a request that was not admitted."""
    await reply.refuse(refusal)
    core.count(f"requests.{refusal.problem.slug}")
    log_event(
        "INFO",
        "refused",
        request=call.request,
        outcome=refusal.problem.slug,
        host=call.host,
        path=call.path,
        **catalog_fields(core.fleet, core.clock.now()),
        detail=refusal.detail,
    )
