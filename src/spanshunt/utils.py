"""Small helpers that several modules share."""

import functools
import hashlib
import re
import secrets
import typing as t

import msgspec

from .exceptions import InvalidInputError
from .ids import BoxId
from .ids import Incarnation
from .ids import Millis
from .ids import RequestId

T = t.TypeVar("T")

_canonical = msgspec.json.Encoder(order="sorted")

WHOLE_DIGITS = 15
"""Digits that a whole number from outside may have: more than any time or size
needs."""

_HASH_SPACE = float(1 << 64)
_HASH_MASK = (1 << 64) - 1
_MIX_1, _MIX_2 = 0xBF58476D1CE4E5B9, 0x94D049BB133111EB
_FIELD_PATH = re.compile(r"^(?P<problem>.*) - at `(?P<field>.*)`$", re.DOTALL)


def canonical_json(value: object) -> bytes:
    """Encode `value` so that equal values give equal bytes."""
    return _canonical.encode(value)


def digest(value: object) -> str:
    """Return the SHA-256 of the canonical JSON of `value`, in hex."""
    return hashlib.sha256(canonical_json(value)).hexdigest()


def hash_secret(secret: str) -> str:
    """Return the hash under which a credential is kept.

    Credentials are random and long, so one round of SHA-256 is enough; a slow hash
    would only guard guessable ones, at a cost on each request.
    """
    return hashlib.sha256(secret.encode(errors="surrogateescape")).hexdigest()


def is_text(text: str) -> bool:
    """Return whether a header's value was UTF-8; the HTTP library escapes other bytes.

    What was not can't be encoded again, and so neither hashed, logged nor sent on.
    """
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def whole_number(text: str) -> int | None:
    """Decode a whole number in a header; None for anything else."""
    found = text.strip()
    if not (found.isascii() and found.isdecimal() and len(found) <= WHOLE_DIGITS):
        return None
    return int(found)


def unit_hash(*parts: str) -> float:
    """Map `parts` to a number in [0, 1), the same on every box."""
    return _hash64("\x1f".join(parts)) / _HASH_SPACE


def _hash64(text: str) -> int:
    raw = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(raw, "big")


_member_hash = functools.lru_cache(maxsize=16_384)(_hash64)
"""Hashes of members, which come again and again: workers of the fleet of two years from
now fit in."""


def rendezvous(key: str, members: t.Iterable[str], count: int) -> list[str]:
    """Return the `count` members that own `key` by highest random weight.

    Key and members are hashed once and mixed by multiplication, as in splitmix64: a
    quarter of the time of a hash for each pair.
    """
    key_hash = _hash64(key)

    def weight(member: str) -> int:
        mixed = ((key_hash ^ _member_hash(member)) * _MIX_1) & _HASH_MASK
        mixed = ((mixed ^ (mixed >> 29)) * _MIX_2) & _HASH_MASK
        return mixed ^ (mixed >> 32)

    if count == 1:
        return [max(members, key=weight)] if members else []
    return sorted(members, key=weight, reverse=True)[:count]


def new_incarnation(box: BoxId, wall: Millis) -> Incarnation:
    """Return a name for this run of the daemon that no other run has.

    Of two runs of one box the later one has the greater name.
    """
    return Incarnation(f"{box}.{wall:012x}.{secrets.token_hex(4)}")


def new_request_id() -> RequestId:
    """Return a request id that no other request has."""
    return RequestId(f"req-{secrets.token_hex(12)}")


def decode_document(raw: bytes, kind: type[T]) -> T:
    """Decode JSON from outside into `kind`.

    Raises
    ------
    InvalidInputError
        Naming the field, what was found and what is allowed.
    """
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.MsgspecError, RecursionError) as exc:
        field, problem = split_problem(str(exc))
        raise InvalidInputError(field, problem) from exc


def split_problem(message: str) -> tuple[str, str]:
    """Split a decoder's message into the field path and the problem."""
    match = _FIELD_PATH.match(message)
    if match is None:
        return "$", message
    return match["field"], match["problem"]
