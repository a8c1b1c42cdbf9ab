"""Refusals as RFC 9457 problem documents, which state whether the request ran."""

import math

import msgspec
from aiohttp import web

from .ids import RequestId
from .refusals import Refusal
from .refusals import problem_document

CONTENT_TYPE = "application/problem+json"


def refusal_response(refusal: Refusal, request: RequestId) -> web.Response:
    """Return the HTTP response of a refusal."""
    headers: dict[str, str] = {"X-Request-Id": request}
    if refusal.retry_ms is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_ms / 1000)))
    return web.Response(
        body=msgspec.json.encode(problem_document(refusal, request)),
        status=refusal.problem.status,
        content_type=CONTENT_TYPE,
        headers=headers,
    )


def error_event(refusal: Refusal, request: RequestId) -> bytes:
    """Return the error event that ends an unfinished stream."""
    body = msgspec.json.encode(problem_document(refusal, request))
    return b"event: error\ndata: " + body + b"\n\n"
