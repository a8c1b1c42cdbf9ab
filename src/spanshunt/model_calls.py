"""Model requests: choose, send, check, pass on, bill."""

import asyncio

import aiohttp
import msgspec
from aiohttp import web
from result import Err
from result import Ok
from result import Result

from .admission import EXPLAIN_HEADER
from .admission import SESSION_HEADER
from .admission import ChatCall
from .attempts import Attempt
from .attempts import Ending
from .attempts import Outcome
from .attempts import Progress
from .histograms import Measure
from .ids import Millis
from .ids import VersionId
from .observations import is_sure
from .observations import learn
from .observations import rate
from .refusal_responses import error_event
from .refusal_responses import refusal_response
from .refusals import Problem
from .refusals import Refusal
from .refusals import Run
from .router import Router
from .session_pins import find_pin
from .session_pins import keep_pin
from .session_tokens import SessionToken
from .sse import EventStream
from .sse import Flaw
from .sse import check_whole
from .sse import text_of_stream
from .sse import text_of_whole
from .systems.choice import Choice
from .systems.choice import choose
from .systems.invariants import OWN_ANSWER
from .systems.invariants import check
from .systems.invariants import check_not_run
from .systems.invariants import check_session
from .systems.invariants import check_version
from .systems.invariants import check_worker
from .systems.journaling import price
from .systems.worker_choice import eligible
from .systems.worker_choice import load_of

MOST_ATTEMPTS = 3
"""Attempts before the first byte of the answer, on different workers."""

FULL_LOAD = 3.0
"""A worker with this many batches of work is not given more."""

_RETRY_MS = Millis(1_000)


async def answer_chat(
    router: Router, req: web.Request, call: ChatCall
) -> web.StreamResponse:
    """Answer a model request, whatever happens on the way."""
    if call.session is not None and not call.asked.pin:
        pin = await find_pin(router, call)
        call.asked = msgspec.structs.replace(call.asked, pin=pin)
    progress = Progress()
    failure = Refusal(Problem.NO_WORKER, "no attempt was made")
    for _ in range(MOST_ATTEMPTS + 1):
        picked = _pick(router, call, progress)
        if isinstance(picked, Err):
            failure = picked.err_value if progress.started == 0 else failure
            break
        attempt = picked.ok_value
        outcome = await _attempt(router, req, call, progress, attempt)
        if outcome.ending is Ending.DONE and outcome.response is not None:
            return outcome.response
        failure = outcome.refusal or failure
        if outcome.ending is not Ending.RETRY:
            break
        if len(progress.tried) >= MOST_ATTEMPTS:
            break
    return await _fail(call, progress, failure)


def _pick(
    router: Router, call: ChatCall, progress: Progress
) -> Result[Attempt, Refusal]:
    """Choose version and worker on the tables as they are now."""
    state = router.state
    if call.asked.org not in state.config.orgs:
        return Err(Refusal(Problem.NOT_ALLOWED, "the organisation is gone"))
    chosen = _choose(router, call, progress)
    if isinstance(chosen, Err):
        return chosen
    choice = chosen.ok_value
    rows = eligible(
        state.workers,
        call.asked.service,
        choice.version,
        progress.tried,
        router.rng,
    )
    if not rows:
        detail = f"no worker that holds {choice.version} takes work now"
        return Err(Refusal(Problem.NO_WORKER, detail, retry_ms=_RETRY_MS))
    worker = router.picker(rows)
    if load_of(worker) >= FULL_LOAD:
        detail = f"the workers that hold {choice.version} are full"
        return Err(Refusal(Problem.OVERLOADED, detail, retry_ms=_RETRY_MS))
    return Ok(Attempt(choice, worker, router.clock.now()))


def _choose(
    router: Router, call: ChatCall, progress: Progress
) -> Result[Choice, Refusal]:
    state = router.state
    asked = call.asked
    if progress.forced:
        asked = msgspec.structs.replace(asked, named=progress.forced)
    service = asked.service
    chosen = choose(
        state.config,
        state.evidence.pool,
        asked,
        lambda version: router.holds(service, version),
        router.preferences,
        router.clock.now(),
    )
    if isinstance(chosen, Err):
        reasons = "; ".join(
            f"{item.version}: {item.reason}" for item in chosen.err_value.excluded
        )
        detail = f"no version may answer now ({reasons or 'none is declared'})"
        return Err(Refusal(Problem.NO_WORKER, detail, retry_ms=_RETRY_MS))
    choice = chosen.ok_value
    if progress.forced or call.session is not None:
        choice = msgspec.structs.replace(choice, fallback=VersionId(""))
    return Ok(choice)


async def _attempt(
    router: Router,
    req: web.Request,
    call: ChatCall,
    progress: Progress,
    attempt: Attempt,
) -> Outcome:
    _check_dispatch(router, call, attempt)
    worker = attempt.worker
    progress.tried.add(worker.name)
    worker.inflight += 1
    try:
        left = (call.deadline - router.clock.now()) / 1000
        async with asyncio.timeout(max(0.001, left)):
            outcome = await _send(router, req, call, progress, attempt)
    except TimeoutError:
        detail = "not answered by the caller's deadline"
        outcome = Outcome(Ending.BROKEN, Refusal(Problem.DEADLINE, detail, Run.UNKNOWN))
    except aiohttp.ClientConnectorError as exc:
        progress.started -= 1
        outcome = _failed(attempt, f"not reached: {exc.os_error}")
    except (aiohttp.ClientError, ConnectionError) as exc:
        outcome = _failed(attempt, f"{type(exc).__name__}: {exc}")
    finally:
        worker.inflight -= 1
    learn(router, call, attempt, outcome)
    if outcome.ending is Ending.RETRY and progress.response is not None:
        return Outcome(Ending.BROKEN, outcome.refusal)
    return outcome


def _check_dispatch(router: Router, call: ChatCall, attempt: Attempt) -> None:
    state = router.state
    version = attempt.choice.version
    check_version(state.config, call.asked.org, version)
    check_worker(state.workers, attempt.worker.name)
    if call.asked.pin:
        check_session(state.config, call.asked.org, call.asked.pin, version)


async def _send(
    router: Router,
    req: web.Request,
    call: ChatCall,
    progress: Progress,
    attempt: Attempt,
) -> Outcome:
    body = _engine_body(call, attempt.choice.version)
    url = f"http://{attempt.worker.name}/v1/chat/completions"
    headers = {"X-Request-Id": call.request, "Content-Type": "application/json"}
    progress.started += 1
    async with router.http.post(url, data=body, headers=headers) as upstream:
        if upstream.status >= 500 or upstream.status == 404:
            if upstream.status in (404, 503):
                progress.started -= 1
            return _failed(attempt, f"answers {upstream.status}")
        if upstream.status != 200:
            text = (await upstream.text())[:500]
            refusal = Refusal(Problem.BAD_REQUEST, text, Run.NO)
            return Outcome(Ending.REFUSED, refusal)
        if call.fields.stream:
            return await _relay(router, req, call, progress, attempt, upstream)
        return await _pass_whole(router, call, progress, attempt, upstream)


async def _relay(
    router: Router,
    req: web.Request,
    call: ChatCall,
    progress: Progress,
    attempt: Attempt,
    upstream: aiohttp.ClientResponse,
) -> Outcome:
    """Pass a stream on, event by event, and end it once it is billed."""
    stream = EventStream(pass_usage=call.fields.pass_usage)
    held_back = bool(attempt.choice.fallback)
    keep = held_back or router.rng.random() < attempt.choice.rate
    async for block in upstream.content.iter_any():
        fed = stream.feed(block)
        if isinstance(fed, Err):
            return _flawed(attempt, fed.err_value)
        out = fed.ok_value
        if not out:
            continue
        if not attempt.first:
            attempt.first = router.clock.now()
        if keep:
            attempt.text.append(out)
        if not held_back:
            if progress.response is None:
                progress.response = await _begin(router, req, call, attempt)
            await progress.response.write(out)
    attempt.ended = router.clock.now()
    end = stream.finish()
    if isinstance(end, Err):
        return _flawed(attempt, end.err_value)
    attempt.usage = stream.usage
    _itemise(router, progress, attempt)
    if _escalates(progress, attempt):
        return Outcome(Ending.RETRY)
    check(OWN_ANSWER, stream.usage is not None, f"{call.request} has no usage")
    await _bill(router, call, progress)
    response = progress.response or await _begin(router, req, call, attempt)
    if held_back:
        await response.write(b"".join(attempt.text))
    await response.write_eof(end.ok_value)
    if keep:
        rate(router, call, attempt, text_of_stream(attempt.text))
    return Outcome(Ending.DONE, response=response)


async def _pass_whole(
    router: Router,
    call: ChatCall,
    progress: Progress,
    attempt: Attempt,
    upstream: aiohttp.ClientResponse,
) -> Outcome:
    body = await upstream.read()
    attempt.first = attempt.ended = router.clock.now()
    checked = check_whole(body)
    if isinstance(checked, Err):
        return _flawed(attempt, checked.err_value)
    attempt.usage = checked.ok_value
    _itemise(router, progress, attempt)
    if _escalates(progress, attempt):
        return Outcome(Ending.RETRY)
    await _bill(router, call, progress)
    if router.rng.random() < attempt.choice.rate:
        rate(router, call, attempt, text_of_whole(body))
    headers = await _headers(router, call, attempt)
    response = web.Response(body=body, content_type="application/json", headers=headers)
    return Outcome(Ending.DONE, response=response)


async def _begin(
    router: Router, req: web.Request, call: ChatCall, attempt: Attempt
) -> web.StreamResponse:
    headers = await _headers(router, call, attempt)
    headers["Content-Type"] = "text/event-stream"
    headers["Cache-Control"] = "no-cache"
    response = web.StreamResponse(headers=headers)
    await response.prepare(req)
    return response


async def _headers(router: Router, call: ChatCall, attempt: Attempt) -> dict[str, str]:
    version = attempt.choice.version
    headers = {
        "X-Request-Id": call.request,
        "Spanshunt-Version": version,
        EXPLAIN_HEADER: attempt.choice.rule.value,
    }
    if call.session is None:
        return headers
    if call.asked.pin and call.asked.pin != version:
        headers["Spanshunt-Session-Moved"] = f"{call.asked.pin} is no longer in service"
    if call.asked.pin != version:
        await keep_pin(router, call, version)
    pins = {**call.session.pins, call.pin_name: version}
    token = SessionToken(call.session.org, call.session.session, pins)
    headers[SESSION_HEADER] = router.signer.sign(token)
    return headers


def _engine_body(call: ChatCall, version: VersionId) -> bytes:
    body = dict(call.raw)
    body["model"] = msgspec.Raw(msgspec.json.encode(version))
    if call.fields.stream:
        body["stream_options"] = msgspec.Raw(b'{"include_usage":true}')
    return msgspec.json.encode(body)


def _itemise(router: Router, progress: Progress, attempt: Attempt) -> None:
    row = router.state.config.versions[attempt.choice.version]
    usage = attempt.usage
    if usage is not None:
        progress.usage.append(price(row, usage.prompt_tokens, usage.completion_tokens))


def _escalates(progress: Progress, attempt: Attempt) -> bool:
    """Tell whether a held back answer is not good enough to be given."""
    fallback = attempt.choice.fallback
    usage = attempt.usage
    if not fallback or usage is None:
        return False
    if is_sure(usage):
        return False
    progress.forced = fallback
    progress.tried.clear()
    return True


async def _bill(router: Router, call: ChatCall, progress: Progress) -> None:
    entry = await router.bills.keep(
        call.request, call.asked.org, call.asked.service, tuple(progress.usage)
    )
    router.histograms.record(
        call.asked.org, call.asked.request_class, Measure.COST, entry.cost
    )


def _failed(attempt: Attempt, detail: str) -> Outcome:
    text = f"worker {attempt.worker.name} {detail}"
    refusal = Refusal(Problem.BACKEND_FAILED, text, Run.UNKNOWN, _RETRY_MS)
    return Outcome(Ending.RETRY, refusal)


def _flawed(attempt: Attempt, flaw: Flaw) -> Outcome:
    return _failed(attempt, f"sent {flaw.value}")


async def _fail(
    call: ChatCall, progress: Progress, failure: Refusal
) -> web.StreamResponse:
    """Give the request its final answer at once."""
    if progress.started == 0:
        failure = msgspec.structs.replace(failure, run=Run.NO)
    elif failure.run is Run.NO:
        failure = msgspec.structs.replace(failure, run=Run.UNKNOWN)
    if failure.run is Run.NO:
        check_not_run(progress.started, call.request)
    if progress.response is None:
        return refusal_response(failure, call.request)
    await progress.response.write_eof(error_event(failure, call.request))
    return progress.response
