"""The two workload models, written from the users' brief.

A workload is a stream of requests, each with an organisation, a request class and
lengths; a table says how good and dear each version is for each class. Organisations
differ in size (a few large, the rest small); lengths are log-normal, so heavy-tailed.
"""

import functools
import math
import random
import typing as t

import msgspec

from spanshunt.ids import ClassId
from spanshunt.ids import Micros
from spanshunt.ids import Offset
from spanshunt.ids import OrgId
from spanshunt.ids import ServiceId
from spanshunt.ids import VersionId
from spanshunt.tables.config import Config
from spanshunt.tables.config import OrgRow
from spanshunt.tables.config import RequestClass
from spanshunt.tables.config import ServiceKind
from spanshunt.tables.config import ServiceRow
from spanshunt.tables.config import VersionRow
from spanshunt.tables.config import VersionState

DAY_S = 86_400


class ClassModel(msgspec.Struct, frozen=True):
    """A request class: its part of the requests, target, and median lengths."""

    name: str
    weight: float
    target: float
    prompt: int
    output: int


class VersionModel(msgspec.Struct, frozen=True):
    """A version: prices a thousand tokens, and true share of good answers by class."""

    name: str
    prompt_price: int
    output_price: int
    quality: dict[str, float]


class Workload(msgspec.Struct, frozen=True):
    """A fleet's requests and versions.

    Attributes
    ----------
    name, service : str
        The fleet and its model service.
    rate : float
        Mean requests a second over the day.
    classes, versions : tuple
        See there.
    orgs : dict
        Weight of each organisation.
    org_spread : float
        How far an organisation's quality is from its class's, at most.
    """

    name: str
    service: str
    rate: float
    classes: tuple[ClassModel, ...]
    versions: tuple[VersionModel, ...]
    orgs: dict[str, float]
    org_spread: float = 0.01


class Arrival(t.NamedTuple):
    """One request: time in seconds, whose, of what class and length."""

    at: float
    org: OrgId
    request_class: ClassId
    prompt: int
    output: int


BOGOTA = Workload(
    name="bogota",
    service="redactor-ia",
    rate=6.0,
    classes=(
        ClassModel("description", 3, 0.88, 900, 350),
        ClassModel("note", 5, 0.85, 250, 60),
        ClassModel("tags", 4, 0.80, 150, 20),
    ),
    versions=(
        VersionModel(
            "mini@1", 100, 400, {"description": 0.72, "note": 0.91, "tags": 0.90}
        ),
        VersionModel(
            "medio@1", 500, 2000, {"description": 0.92, "note": 0.94, "tags": 0.93}
        ),
        VersionModel(
            "pro@1", 1500, 6000, {"description": 0.96, "note": 0.97, "tags": 0.96}
        ),
    ),
    orgs={
        "museo-nacional": 8,
        "biblioteca-central": 6,
        "archivo-andino": 5,
        "universidad-norte": 1,
        "universidad-sur": 1,
        "radio-caribe": 1,
        "tele-valle": 1,
        "casa-grabado": 0.5,
        "fototeca-bogota": 0.5,
    },
)

GARCHING = Workload(
    name="garching",
    service="lm-pool",
    rate=3.0,
    classes=(
        ClassModel("summary", 1, 0.88, 4000, 300),
        ClassModel("history", 4, 0.85, 500, 80),
        ClassModel("ticket", 6, 0.82, 150, 15),
    ),
    versions=(
        VersionModel(
            "klein@1", 80, 300, {"summary": 0.70, "history": 0.82, "ticket": 0.92}
        ),
        VersionModel(
            "mittel@1", 400, 1600, {"summary": 0.84, "history": 0.92, "ticket": 0.94}
        ),
        VersionModel(
            "gross@1", 1000, 4000, {"summary": 0.95, "history": 0.96, "ticket": 0.96}
        ),
    ),
    orgs={
        "cern-labor": 6,
        "desy-labor": 5,
        "tum-physik": 1,
        "lmu-physik": 1,
        "mpi-physik": 1,
        "gsi-labor": 1,
        "psi-labor": 0.5,
        "infn-labor": 0.5,
        "kek-labor": 0.5,
    },
)

WORKLOADS = (BOGOTA, GARCHING)


def arrivals(work: Workload, seconds: float, seed: int) -> t.Iterator[Arrival]:
    """Draw requests with a daily shape and bursts of up to three times the rate."""
    rng = random.Random(seed)
    orgs, org_weights = zip(*work.orgs.items(), strict=True)
    class_weights = [row.weight for row in work.classes]
    at = 0.0
    burst_until = 0.0
    while True:
        shape = 1 + 0.5 * math.sin(2 * math.pi * at / DAY_S)
        burst = 3.0 if at < burst_until else 1.0
        at += rng.expovariate(work.rate * shape * burst)
        if at >= seconds:
            return
        if at >= burst_until and rng.random() < 0.0005:
            burst_until = at + rng.uniform(20, 90)
        row = rng.choices(work.classes, class_weights)[0]
        yield Arrival(
            at=at,
            org=OrgId(rng.choices(orgs, org_weights)[0]),
            request_class=ClassId(row.name),
            prompt=_length(rng, row.prompt),
            output=_length(rng, row.output),
        )


@functools.cache
def _shift(org: str, request_class: str) -> float:
    return random.Random(f"{org}/{request_class}").uniform(-1, 1)


def true_quality(work: Workload, version: str, request_class: str, org: str) -> float:
    """Return the true share of good answers."""
    row = next(row for row in work.versions if row.name == version)
    shift = _shift(org, request_class) * work.org_spread
    return min(1.0, max(0.0, row.quality[request_class] + shift))


def config_of(work: Workload) -> Config:
    """Return a configuration with the workload's service, versions, organisations."""
    config = Config()
    classes = tuple(RequestClass(row.name, row.target) for row in work.classes)
    config.services[ServiceId(work.service)] = ServiceRow(
        work.service, ServiceKind.MODEL, classes
    )
    for row in work.versions:
        config.versions[VersionId(row.name)] = VersionRow(
            name=row.name,
            service=work.service,
            prompt_price=Micros(row.prompt_price),
            output_price=Micros(row.output_price),
            state=VersionState.ACTIVE,
            since=Offset(0),
        )
    models = tuple(row.name.partition("@")[0] for row in work.versions)
    for org in work.orgs:
        config.orgs[OrgId(org)] = OrgRow(name=org, allowed=models)
    return config


def cost(row: VersionModel, prompt: int, output: int) -> float:
    """Return the price of one answer, in millionths of the currency."""
    return (prompt * row.prompt_price + output * row.output_price) / 1000


def _length(rng: random.Random, median: int) -> int:
    return max(1, min(32_000, int(rng.lognormvariate(math.log(median), 0.7))))
