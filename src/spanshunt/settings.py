"""Settings of the daemon: a JSON file, checked at start against this schema."""

import os
import pathlib
import typing as t

import msgspec

from .addresses import ADDRESS_PATTERN
from .exceptions import SettingsError
from .utils import split_problem

Address = t.Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN, max_length=21)]
"""An IP address and port, ``127.0.0.1:7000``; port 0 takes a free one."""

Url = t.Annotated[str, msgspec.Meta(pattern=r"^https?://[^\s]+$")]
Name = t.Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]*$", max_length=60)]
Duration = t.Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
Count = t.Annotated[int, msgspec.Meta(ge=1, le=2_147_483_647)]


T = t.TypeVar("T")


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    pass


class Secret(_Section, frozen=True, kw_only=True):
    """A secret, from exactly one of a file or an environment variable.

    Attributes
    ----------
    file : str
        Path of a file that holds the secret.
    env : str
        Name of an environment variable that holds it.
    """

    file: str = ""
    env: str = ""


class Listen(_Section, frozen=True, kw_only=True):
    """Where the daemon listens.

    Attributes
    ----------
    callers : str
        The callers' API.
    operators : str
        The operators' API.
    peers : str
        The protocol between daemons.
    """

    callers: Address
    operators: Address
    peers: Address


class Platform(_Section, frozen=True, kw_only=True):
    """Where the platform's services are.

    Attributes
    ----------
    log : str
        URL of the append-only log.
    boxes : str
        URL of the list of live and leaving boxes.
    rater : str
        URL of the service that rates answers; empty for none.
    timeout_ms : int
        How long one call to the platform may take, in ms.
    appends_per_s : float
        What all daemons together may append in a second.
    """

    log: Url
    boxes: Url
    rater: str = ""
    timeout_ms: Duration = 2_000
    appends_per_s: t.Annotated[float, msgspec.Meta(gt=0, le=1e9)] = 80.0


class Operator(_Section, frozen=True, kw_only=True):
    """An operator's credential and role.

    Attributes
    ----------
    name : str
        Who it is, for the audit trail.
    role : str
        ``read``, ``plan`` or ``confirm``; each includes those before it.
    secret : Secret
        The credential.
    """

    name: Name
    role: t.Literal["read", "plan", "confirm"]
    secret: Secret


class CallerBounds(_Section, frozen=True, kw_only=True):
    """Bounds on what a caller may send.

    Attributes
    ----------
    header_bytes : int
        Longest header line.
    body_bytes : int
        Largest body of a request, in bytes.
    body_timeout_ms : int
        How long a body may take to arrive, in ms.
    requests : int
        Requests under way at once on this box, before any limit of an organisation.
    deadline_ms : int
        How long a request may take when the caller names no deadline, in ms.
    """

    header_bytes: Count = 8_190
    body_bytes: Count = 4_194_304
    body_timeout_ms: Duration = 10_000
    requests: Count = 4_096
    deadline_ms: Duration = 120_000


class Journal(_Section, frozen=True, kw_only=True):
    """How bills are kept until the log has them.

    Attributes
    ----------
    copies : int
        Peers that hold a copy before the last byte of an answer leaves.
    batch_ms : int
        Longest wait before entries are appended, in ms.
    max_entries : int
        Entries held, own and copied; at this number new work is refused.
    """

    copies: t.Annotated[int, msgspec.Meta(ge=0, le=4)] = 2
    batch_ms: Duration = 500
    max_entries: Count = 100_000


class Timing(_Section, frozen=True, kw_only=True):
    """Periods and bounds in time, in ms.

    Attributes
    ----------
    tick_ms : int
        Period of the decisions that do not wait for a request.
    gossip_ms : int
        Period of exchanges between peers.
    fresh_ms : int
        A box that can't show that its configuration is at most this old takes no work.
    suspect_ms : int
        A peer not heard of, directly or not, for this long counts as gone.
    report_ms : int
        Period at which workers' load reports are read.
    drain_ms : int
        How long a planned stop may take before streams are cut.
    """

    tick_ms: Duration = 100
    gossip_ms: Duration = 500
    fresh_ms: Duration = 4_000
    suspect_ms: Duration = 3_000
    report_ms: Duration = 500
    drain_ms: Duration = 300_000


class Logging(_Section, frozen=True, kw_only=True):
    """How the daemon logs.

    Attributes
    ----------
    level : str
        The least severe level that is written.
    json : bool
        One JSON object a line, for machines.
    """

    level: t.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    json: bool = False


class Statsd(_Section, frozen=True, kw_only=True):
    """Where metrics go; an empty host sends none."""

    host: str = ""
    port: t.Annotated[int, msgspec.Meta(ge=1, le=65_535)] = 8_125
    prefix: str = "spanshunt"


class Settings(_Section, frozen=True, kw_only=True):
    """All settings of one daemon.

    Attributes
    ----------
    box : str
        The name of this box.
    domain : str
        Its failure domain.
    region : str
        Its region.
    listen, platform, bounds, journal, timing, logging, statsd
        Sections, see there.
    seeds : tuple of str
        Peer addresses to meet first.
    operators : tuple of Operator
        Who may use the operators' API.
    session_keys : tuple of Secret
        Keys that sign session tokens; the last one signs, all are accepted.
    """

    box: Name
    domain: Name
    region: Name
    listen: Listen
    platform: Platform
    seeds: tuple[Address, ...] = ()
    operators: tuple[Operator, ...] = ()
    session_keys: t.Annotated[tuple[Secret, ...], msgspec.Meta(min_length=1)]
    bounds: CallerBounds = CallerBounds()
    journal: Journal = Journal()
    timing: Timing = Timing()
    logging: Logging = Logging()
    statsd: Statsd = Statsd()


def load_settings(path: str) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        Naming file, field, what was found and what is allowed.
    """
    settings = load_file(path, Settings)
    _check_secrets(path, settings)
    return settings


def load_file(path: str, kind: type[T]) -> T:
    """Read a settings file and check it against its schema.

    Raises
    ------
    SettingsError
        Naming file, field, what was found and what is allowed.
    """
    try:
        raw = pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise SettingsError(path, "$", f"can't be read: {exc.strerror}") from exc
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.MsgspecError, RecursionError) as exc:
        field, problem = split_problem(str(exc))
        found = _found_at(raw, field)
        raise SettingsError(path, field, f"{problem}{found}") from exc


def read_secret(secret: Secret, path: str, field: str) -> str:
    """Return the secret itself.

    Raises
    ------
    SettingsError
        If it can't be read, or is shorter than 12 characters; the secret is not shown.
    """
    if bool(secret.file) == bool(secret.env):
        raise SettingsError(path, field, "exactly one of `file` and `env` is allowed")
    if secret.env:
        value = os.environ.get(secret.env, "")
        source = f"environment variable {secret.env}"
    else:
        source = f"file {secret.file}"
        try:
            value = pathlib.Path(secret.file).read_text().strip()
        except OSError as exc:
            problem = f"{source} can't be read: {exc.strerror}"
            raise SettingsError(path, field, problem) from exc
    if len(value) < 12:
        problem = f"{source} holds {len(value)} characters; at least 12 are needed"
        raise SettingsError(path, field, problem)
    return value


def _check_secrets(path: str, settings: Settings) -> None:
    for index, operator in enumerate(settings.operators):
        read_secret(operator.secret, path, f"$.operators[{index}].secret")
    for index, key in enumerate(settings.session_keys):
        read_secret(key, path, f"$.session_keys[{index}]")


def _found_at(raw: bytes, field: str) -> str:
    """Return the value at a field path for the message, when it is a plain one."""
    try:
        value = msgspec.json.decode(raw)
    except (msgspec.MsgspecError, RecursionError):
        return ""
    if "secret" in field or "session_keys" in field:
        return ""
    for part in field.replace("[", ".[").split(".")[1:]:
        if part.startswith("["):
            inside = part[1:-1]
            value = value[int(inside)] if inside.isdigit() else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    if isinstance(value, str | int | float | bool):
        return f", found {value!r}"
    return ""
