"""Requests that were at a worker when it ended, by their content."""

import msgspec

from ..ids import BoxId
from ..ids import Fingerprint
from ..ids import LifeId
from ..ids import Millis
from ..ids import ServiceId
from ..ids import VersionId

SOUND_MS = 60_000
"""How long a whole answer speaks for a content, in ms: what ends workers is answered by
none, while a sound one that is asked often meets ends by chance."""


class Break(msgspec.Struct, frozen=True):
    """An attempt whose connection ended before its answer was whole.

    Attributes
    ----------
    fingerprint : str
        The request's content.
    service : str
        The service that it was sent to.
    at : int
        When the connection ended, in ms.
    """

    fingerprint: Fingerprint
    service: ServiceId
    at: Millis


class Suspect(msgspec.Struct):
    """A content under which workers ended.

    Attributes
    ----------
    fingerprint : str
        The content.
    service : str
        The service that it was sent to.
    ends : dict
        Lives of workers that ended while they had it, and when, in ms.
    versions : set of str
        The versions that these ran.
    sound_at : int
        When a worker last outlived a whole answer to it, or an operator let it go, in
        ms; -1 for never. What ended before says nothing against it.
    shared : bool
        Whether other boxes are told: not while its try goes on here, as most requests
        that lose a worker are answered by the next one.
    changed_at : int
        When this box last learned something of it, in ms.
    kept_by : str
        The first box by name that found it is to be kept back; empty while none did.
    kept_at : int
        When this box found that or heard it, in ms; -1 for never.
    recorded : bool
        Whether that stands in the platform's store.
    dropped_at : int
        When this box took it out of there, in ms; -1 while it did not.
    """

    fingerprint: Fingerprint
    service: ServiceId
    ends: dict[LifeId, Millis] = {}
    versions: set[VersionId] = set()
    sound_at: Millis = Millis(-1)
    shared: bool = False
    changed_at: Millis = Millis(0)
    kept_by: BoxId = BoxId("")
    kept_at: Millis = Millis(-1)
    recorded: bool = False
    dropped_at: Millis = Millis(-1)

    def counted(self) -> dict[LifeId, Millis]:
        """Return the ends that count: none within `SOUND_MS` of a whole answer."""
        since = self.sound_at + SOUND_MS if self.sound_at >= 0 else -1
        return {life: at for life, at in self.ends.items() if at > since}

    def last_end(self) -> Millis:
        """Return when a worker last ended under it, in ms; -1 for never."""
        return max(self.ends.values(), default=Millis(-1))
