"""The client of the platform's lagging list of boxes."""

import enum

import aiohttp
import msgspec
from result import Err
from result import Ok
from result import Result

from ..ids import BoxId
from ..ids import DomainId
from ..ids import ServiceId
from ..ids import VersionId
from .outcomes import Fault
from .outcomes import PlatformFault


class BoxState(enum.Enum):
    """What the platform says of a box."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedBox(msgspec.Struct, frozen=True):
    """One row of the list.

    Attributes
    ----------
    name : str
        The box.
    address : str
        ``host:port`` of a backend server, or of a router's peer protocol.
    domain : str
        Its failure domain.
    service : str
        The service that a backend server answers; empty for a router's box.
    versions : tuple of str
        The versions that a model engine holds.
    state : BoxState
        What the platform says of it.
    """

    name: BoxId
    address: str
    domain: DomainId
    service: ServiceId = ServiceId("")
    versions: tuple[VersionId, ...] = ()
    state: BoxState = BoxState.LIVE


class BoxList(msgspec.Struct, frozen=True):
    """The whole list."""

    boxes: tuple[ListedBox, ...] = ()


async def fetch_boxes(
    http: aiohttp.ClientSession, url: str
) -> Result[BoxList, PlatformFault]:
    """Fetch the list."""
    try:
        async with http.get(f"{url.rstrip('/')}/boxes") as answer:
            raw = await answer.read()
            if answer.status != 200:
                detail = f"box list answers {answer.status}"
                return Err(PlatformFault(Fault.NOT_DONE, detail))
            return Ok(msgspec.json.decode(raw, type=BoxList))
    except (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError) as exc:
        detail = f"box list: {type(exc).__name__} {exc}"
        return Err(PlatformFault(Fault.NOT_DONE, detail))
