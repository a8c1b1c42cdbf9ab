"""All tables of a box that routes for the platform's catalog."""

import collections

import msgspec

from ..ids import BoxId
from ..ids import DomainId
from ..ids import Fingerprint
from ..ids import Incarnation
from ..ids import Millis
from ..ids import ModelId
from ..ids import Offset
from ..ids import RegionId
from ..ids import ServiceId
from ..ids import WorkerId
from .catalog import Catalog
from .engines import EngineSpeed
from .engines import PromptRead
from .engines import WritePace
from .identity import Identity
from .rollouts import Rollouts
from .settings_state import SettingsRow
from .settings_state import ToldSettings
from .suspects import Break
from .suspects import Suspect
from .workers import Workers


class PeerRow(msgspec.Struct):
    """Another box.

    Attributes
    ----------
    box, address, domain : str
        Its name, where its peer protocol listens, and its failure domain.
    incarnation : str
        Its run when it was last heard.
    heard : int
        When it last answered or called, in ms; -1 for never.
    asked : int
        When it was last called, in ms.
    failures : int
        Calls to it that failed since it last answered.
    served : bool
        Whether the store serves it, by its own word.
    catalog_version : int
        The newest catalog that it knows, by its own word; -1 for none.
    clock_ahead : int or None
        How far its clock is ahead of this box's at most, in ms, by its last answer.
    settings : ToldSettings
        Which settings it has in force, by its own word.
    followers : tuple of str
        Who follows the operators' records, by its word as the first of its failure
        domain; empty if it is not.
    """

    box: BoxId
    address: str
    domain: DomainId = DomainId("")
    incarnation: Incarnation = Incarnation("")
    heard: Millis = Millis(-1)
    asked: Millis = Millis(-1)
    failures: int = 0
    served: bool = True
    catalog_version: int = -1
    clock_ahead: int | None = None
    settings: ToldSettings = ToldSettings()
    followers: tuple[BoxId, ...] = ()


class TrafficSecond(msgspec.Struct):
    """Requests and arrivals beyond their first in one second of the clock."""

    number: int
    requests: int = 0
    repeats: int = 0


class Traffic(msgspec.Struct):
    """Requests and repeats of one service in this box's last seconds, oldest first."""

    seconds: collections.deque[TrafficSecond] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=32)
    )


class ModelStats(msgspec.Struct):
    """What answers told of a model: how likely they were good, a moving mean."""

    confidence: float = 0.5
    answers: int = 0


class FirstTimes(msgspec.Struct):
    """Usual time to the first byte, in ms, and the prompt that it was for, in tokens.

    Both are moving means over so many answers.
    """

    first_ms: float = 0.0
    read: float = 0.0
    answers: int = 1


class EvacuationRow(msgspec.Struct, frozen=True):
    """An operator's word on whether a failure domain's workers get requests.

    Attributes
    ----------
    domain : str
        The failure domain.
    order : int
        Its place in the operators' stream; a greater one replaces this.
    active : bool
        Whether the domain is emptied now; False once that was taken back.
    """

    domain: DomainId
    order: Offset
    active: bool


class DomainOutage(msgspec.Struct):
    """Workers of a failure domain out of reach since one answered, and when, in ms."""

    unreached: dict[WorkerId, Millis] = {}


class ColdBounds(msgspec.Struct, frozen=True):
    """What a cold worker may get from all boxes: a multiple of what it bears, and more.

    Attributes
    ----------
    over : float
        How many times the rate that it bears may come.
    slack : float
        Requests in a second beyond that.
    """

    over: float = 1.0
    slack: float = 0.0


class StoreHealth(msgspec.Struct):
    """What this box sees of the platform's store.

    Attributes
    ----------
    failing_since : int
        When calls began to fail, in ms; -1 while they do not.
    failed_at : int
        When the last call failed, in ms; -1 for never.
    era : int
        How often it came back from a copy, by its own count; -1 while that is unknown.
    era_began : int
        When this box learned of the last return, in ms; -1 for none.
    """

    failing_since: Millis = Millis(-1)
    failed_at: Millis = Millis(-1)
    era: int = -1
    era_began: Millis = Millis(-1)


class CatalogProof(msgspec.Struct, frozen=True):
    """What shows that the catalog known was the newest at some time.

    Attributes
    ----------
    at : int
        That time, in ms; -1 for never.
    end : int
        Where the operators' stream ended then; -1 for unknown.
    source : str
        The box that read it from the store; empty for none.
    """

    at: Millis = Millis(-1)
    end: Offset = Offset(-1)
    source: BoxId = BoxId("")


class Readings(msgspec.Struct):
    """A row of readings of the workers' list, by any boxes, without a gap between them.

    Attributes
    ----------
    since, last : int
        The first and the newest, in ms; -1 for none.
    """

    since: Millis = Millis(-1)
    last: Millis = Millis(-1)


class Fleet(msgspec.Struct):
    """Everything that decisions read.

    Attributes
    ----------
    me : Identity
        Who this box is.
    settings : SettingsRow
        Which settings it has in force.
    catalog : Catalog or None
        The newest catalog known; never replaced by an older one.
    catalog_packed : bytes
        The same as it came, packed for peers.
    catalog_proof : CatalogProof
        What shows that it is the newest.
    proved_before_me : int
        As of when a box before this one by name proved its own, as far as told, in ms;
        -1 for never.
    waiting_since : int
        When this box's read that waits for operators' records began, in ms; -1 while
        there is none.
    workers : Workers
        Backend servers.
    workers_end : int
        The end of the workers' stream at the newest list taken in.
    workers_read_at : int
        When that list was read from the store, by this box or by the one that told it,
        in ms; -1 for never.
    readings : Readings
        Readings of the list by any box that this one hears of.
    missing : set
        Workers that the list lacks just after the store's return: their entries may
        come back.
    silences : dict
        When which box found a worker silent, in ms, by worker and box.
    breaks : dict
        Connections that ended under requests of late, by worker.
    suspects : dict
        Contents under which workers ended.
    kept_known : bool
        Whether this box knows what the store has recorded of contents kept back.
    sound : dict
        When this box last gave a whole answer to a content, in ms, the oldest first.
    peers : dict
        Other boxes.
    boxes_told : int
        The most boxes that any peer knew of, itself among them.
    alone_until : int
        Until when a box that heard of no other takes it that there are some, in ms.
    cold_bounds : ColdBounds
        What a worker may get while it is cold.
    evacuations : dict
        What operators said last of each failure domain's workers.
    outages : dict
        Failure domains of which workers could not be reached just now.
    regions : dict
        The region of each failure domain, as the settings tell it.
    rollouts : Rollouts
        Orders and their evidence.
    traffic : dict
        Requests and repeats by service.
    models : dict
        What is known of models.
    repeat_prices : dict
        What a repeat for quality is taken to cost by service, in the catalog's price
        unit: above 0 where the budget of repeats is short.
    first_times : dict
        Usual times to the first byte by route name and model ("" where it has none).
    speeds : dict
        How fast engines read, by service and model.
    paces : dict
        How fast engines write, by service and model.
    unseen_kept : dict
        How often an engine kept a prompt that this box knew nothing of there, by
        service and model, in 0 to 1.
    prompts_read : deque of PromptRead
        The newest prompts that this box sent to engines not known to keep them.
    lateness : dict
        Mean lateness of the newest answers, in 0 to 1, by service.
    engine_worths : dict
        Usual gain of a larger model's answer for each ms that it takes an engine, by
        service, in the catalog's price unit.
    store : StoreHealth
        The platform's store.
    stale_until : int
        Until when requests are held as the box has just woken and heard nobody yet, in
        ms.
    stopping : bool
        Whether a planned stop is under way.
    """

    me: Identity
    settings: SettingsRow = msgspec.field(default_factory=SettingsRow)
    catalog: Catalog | None = None
    catalog_packed: bytes = b""
    catalog_proof: CatalogProof = CatalogProof()
    proved_before_me: Millis = Millis(-1)
    waiting_since: Millis = Millis(-1)
    workers: Workers = msgspec.field(default_factory=Workers)
    workers_end: Offset = Offset(-1)
    workers_read_at: Millis = Millis(-1)
    readings: Readings = msgspec.field(default_factory=Readings)
    missing: set[WorkerId] = set()
    silences: dict[WorkerId, dict[BoxId, Millis]] = {}
    breaks: dict[WorkerId, list[Break]] = {}
    suspects: dict[Fingerprint, Suspect] = {}
    kept_known: bool = False
    sound: dict[Fingerprint, Millis] = {}
    peers: dict[BoxId, PeerRow] = {}
    boxes_told: int = 0
    alone_until: Millis = Millis(0)
    cold_bounds: ColdBounds = ColdBounds()
    evacuations: dict[DomainId, EvacuationRow] = {}
    outages: dict[DomainId, DomainOutage] = {}
    regions: dict[DomainId, RegionId] = {}
    rollouts: Rollouts = msgspec.field(default_factory=Rollouts)
    traffic: dict[ServiceId, Traffic] = {}
    models: dict[ModelId, ModelStats] = {}
    repeat_prices: dict[ServiceId, float] = {}
    first_times: dict[tuple[str, ModelId], FirstTimes] = {}
    speeds: dict[tuple[ServiceId, ModelId], EngineSpeed] = {}
    paces: dict[tuple[ServiceId, ModelId], WritePace] = {}
    unseen_kept: dict[tuple[ServiceId, ModelId], float] = {}
    prompts_read: collections.deque[PromptRead] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=16)
    )
    lateness: dict[ServiceId, float] = {}
    engine_worths: dict[ServiceId, float] = {}
    store: StoreHealth = msgspec.field(default_factory=StoreHealth)
    stale_until: Millis = Millis(0)
    stopping: bool = False

    @property
    def catalog_version(self) -> int:
        """The version of the catalog that this box knows; -1 for none."""
        return self.catalog.version if self.catalog is not None else -1
