"""Entry of requests of the catalog: which route they take, or why they take none.

A 401 or 404 is final to a caller, who does not ask again. It is given only where the
catalog is known to have been the newest just now. Else the box finds out first; if it
can't, it says that the request has not run and when to come back.
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

FINAL = frozenset({Problem.NOT_FOUND, Problem.BAD_CREDENTIAL})
"""Refusals after which a caller does not ask again."""

CATALOG_STEP_S = 0.02
"""How often a request that waits for the first catalog looks for it, in s."""

STALE_STEP_S = 0.01
"""How often a request that came just after the box woke looks whether it heard news, in
s."""


async def enter(core: Core, call: Call) -> Result[Admission, Refusal]:
    """Admit a request, or return why it is refused."""
    if core.fleet.catalog is None:
        await _await_catalog(core, call)
    await _await_news(core)
    admitted = _admit(core, call)
    if not isinstance(admitted, Err) or admitted.err_value.problem not in FINAL:
        return admitted
    if _is_proved(core, REFUSAL_PROOF_FRACTION):
        return admitted
    core.count("refusals_checked")
    await core.prove()
    again = _admit(core, call)
    if not isinstance(again, Err) or _is_proved(core, 1.0):
        return again
    core.count("refusals_checked.unproved")
    return Err(
        unproved_catalog_refusal(core.fleet.catalog, call.deadline - core.clock.now())
    )


def _admit(core: Core, call: Call) -> Result[Admission, Refusal]:
    left_ms = call.deadline - core.clock.now()
    asked = AdmissionRequest(call.host, call.path, call.credential, left_ms)
    return admit(core.fleet.catalog, asked)


def _is_proved(core: Core, part: float) -> bool:
    """Tell whether the proof is at most a part of the bound on changes old."""
    return is_catalog_proved(core.fleet, core.clock.now(), part * core.in_force_ms)


async def _await_news(core: Core) -> None:
    """Wait for a peer or the store just after the box woke, while that may come."""
    left_ms = core.fleet.wake_hold_until - core.clock.now()
    for _ in range(int(left_ms / (1_000 * STALE_STEP_S)) + 1):
        if core.clock.now() >= core.fleet.wake_hold_until:
            return
        await asyncio.sleep(STALE_STEP_S)


async def _await_catalog(core: Core, call: Call) -> None:
    """Wait for the first catalog, as long as that may still serve the caller."""
    clock = core.clock
    steps = catalog_wait_ms(call.deadline - clock.now()) / (1_000 * CATALOG_STEP_S)
    for _ in range(int(steps)):
        if core.fleet.catalog is not None:
            break
        await asyncio.sleep(CATALOG_STEP_S)
    catalog = core.fleet.catalog
    core.count("requests_held.served" if catalog else "requests_held.not_ready")
    log_event(
        "INFO",
        "held for a catalog",
        request=call.request,
        catalog=catalog.version if catalog else None,
        held_ms=clock.now() - call.began,
    )


async def refuse_entry(core: Core, call: Call, reply: Reply, refusal: Refusal) -> None:
    """Refuse a request that was not admitted."""
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
