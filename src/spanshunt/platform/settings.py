"""Settings of a box on the platform: JSON, filled in by the deploy file's template."""

import typing as t

import msgspec
from msgspec.structs import replace

from ..settings import Address
from ..settings import Duration
from ..settings import Logging
from ..settings import load_file
from ..utils import digest

PATH_VARIABLE = "SPANSHUNT_NODE_FILE"
"""The environment variable that holds the path of the settings file."""


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    pass


class NodeListen(_Section, frozen=True, kw_only=True):
    """Where the box listens.

    Attributes
    ----------
    callers : str
        Callers' requests.
    readiness : str
        The balancer's question whether this box takes new connections.
    peers : str
        The protocol between boxes.
    advertised : str or None
        Where other boxes reach that, where they do not reach it there.
    metrics : str
        Counters and histograms.
    """

    callers: Address
    readiness: Address
    peers: Address
    metrics: Address
    advertised: Address | None = None


class NodeStore(_Section, frozen=True, kw_only=True):
    """The platform's store.

    Attributes
    ----------
    address : str
        Where it listens.
    timeout_ms : int
        Longest that a call may take, beyond the time it asks the store to wait, in ms.
        A slow store answers in about 60 times its usual 4 ms.
    """

    address: Address
    timeout_ms: Duration = 1_500


class NodeBounds(_Section, frozen=True, kw_only=True):
    """Bounds that the platform sets.

    Attributes
    ----------
    grace_s : float
        From SIGTERM until the process is killed, in s.
    draining_ms : int
        Within which a worker that leaves must get no new request, in ms.
    in_force_ms : int
        Within which a change of the operators must be in force, in ms.
    expose_share, expose_slack
        What a bad version may get while it is brought in: a share of the requests for
        its service, and a number beyond it.
    cold_over, cold_slack
        What a worker may get from all boxes in a second while it is slow from its
        start: a multiple of the rate that it bears, and a number beyond it.
    repeat_ratio, repeat_slack, repeat_window_s
        What all boxes together may repeat: in a window, a ratio of the requests and a
        number beyond it.
    """

    grace_s: t.Annotated[float, msgspec.Meta(gt=0, le=3_600)] = 8.0
    draining_ms: Duration = 2_000
    in_force_ms: Duration = 2_000
    expose_share: t.Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.15
    expose_slack: t.Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0
    cold_over: t.Annotated[float, msgspec.Meta(ge=1, le=100)] = 1.0
    cold_slack: t.Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0
    repeat_ratio: t.Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.2
    repeat_slack: t.Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 10.0
    repeat_window_s: t.Annotated[int, msgspec.Meta(ge=1, le=600)] = 10


class NodeLimits(_Section, frozen=True, kw_only=True):
    """Resources of the box; 0 for an unknown one.

    Attributes
    ----------
    cpu_share : float
        Processor time that the process may use, in cores.
    memory_mb : int
        Memory that the process may use, in MB.
    link_mbps : float
        Bandwidth of the box's link, in Mbit/s.
    max_fds : int
        Descriptors that the process may have open.
    """

    cpu_share: t.Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0
    memory_mb: t.Annotated[int, msgspec.Meta(ge=0, le=2_147_483_647)] = 0
    link_mbps: t.Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0
    max_fds: t.Annotated[int, msgspec.Meta(ge=0, le=2_147_483_647)] = 0


class NodeSettings(_Section, frozen=True, kw_only=True):
    """All settings of a box on the platform.

    Attributes
    ----------
    box, domain : str
        Its name and its failure domain.
    listen, store, bounds, limits, logging
        Sections, see there.
    regions : dict
        The region of each failure domain.
    seeds : tuple of str
        Peer addresses to meet first.
    fingerprint_key : str
        What the digests of requests' contents are keyed with; the same on all boxes.
    """

    box: t.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    domain: t.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    listen: NodeListen
    store: NodeStore
    regions: dict[str, str] = {}
    seeds: tuple[Address, ...] = ()
    bounds: NodeBounds = NodeBounds()
    limits: NodeLimits = NodeLimits()
    logging: Logging = Logging(json=True)
    fingerprint_key: t.Annotated[str, msgspec.Meta(max_length=64)] = ""


START_FIELDS = frozenset(
    {"box", "domain", "listen", "store.address", "fingerprint_key"}
)
"""Fields, or whole sections, that take effect at a start only: who the box is, where it
listens, whose records it follows, and what its knowledge of contents is keyed with."""

OWN_FIELDS = frozenset({"box", "domain", "listen", "seeds", "limits"})
"""What differs from box to box; the rest is the same on all of them."""

DIGEST_SIGNS = 12
"""Length of the digest that names settings, in hex digits."""


def shared_digest(settings: NodeSettings) -> str:
    """Return what names those settings that all boxes of a fleet share."""
    told = msgspec.to_builtins(settings)
    return digest({name: told[name] for name in told.keys() - OWN_FIELDS})[
        :DIGEST_SIGNS
    ]


def keep_until_start(now: NodeSettings, found: NodeSettings) -> NodeSettings:
    """Return what may come into force at once of `found`; the rest stays as `now`."""
    return replace(
        found,
        box=now.box,
        domain=now.domain,
        listen=now.listen,
        store=replace(found.store, address=now.store.address),
        fingerprint_key=now.fingerprint_key,
    )


def changed_fields(before: NodeSettings, after: NodeSettings) -> tuple[str, ...]:
    """Return the fields that differ, as ``section.field``, sorted."""
    old, new = flat_fields(before), flat_fields(after)
    return tuple(sorted(name for name in old if old[name] != new[name]))


def flat_fields(settings: NodeSettings) -> dict[str, object]:
    """Return all fields by name, those of sections as ``section.field``."""
    found: dict[str, object] = {}
    for name in settings.__struct_fields__:
        value = getattr(settings, name)
        if isinstance(value, msgspec.Struct):
            for inner in value.__struct_fields__:
                found[f"{name}.{inner}"] = getattr(value, inner)
        else:
            found[name] = value
    return found


def load_node_settings(path: str) -> NodeSettings:
    """Read and check the settings file of a box.

    Raises
    ------
    SettingsError
        Naming file, field, what was found and what is allowed.
    """
    return load_file(path, NodeSettings)
