"""The client of the platform's service that rates answers."""

import aiohttp
import msgspec
from result import Err
from result import Ok
from result import Result

from ..ids import ClassId
from ..ids import RequestId
from ..ids import ServiceId
from ..ids import VersionId
from .outcomes import Fault
from .outcomes import PlatformFault


class RatingRequest(msgspec.Struct, frozen=True):
    """An answer to rate."""

    request: RequestId
    service: ServiceId
    request_class: ClassId
    version: VersionId
    prompt: str
    answer: str


class Rating(msgspec.Struct, frozen=True):
    """A rating from 0 to 1."""

    score: float


async def fetch_rating(
    http: aiohttp.ClientSession, url: str, asked: RatingRequest
) -> Result[Rating, PlatformFault]:
    """Ask for the rating of one answer; it may take seconds."""
    try:
        body = msgspec.json.encode(asked)
        async with http.post(f"{url.rstrip('/')}/rate", data=body) as answer:
            raw = await answer.read()
            if answer.status != 200:
                detail = f"rater answers {answer.status}"
                return Err(PlatformFault(Fault.NOT_DONE, detail))
            rating = msgspec.json.decode(raw, type=Rating)
    except (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError) as exc:
        detail = f"rater: {type(exc).__name__} {exc}"
        return Err(PlatformFault(Fault.NOT_DONE, detail))
    if not 0.0 <= rating.score <= 1.0:
        return Err(PlatformFault(Fault.NOT_DONE, f"rating {rating.score} not in 0..1"))
    return Ok(rating)
