"""Fingerprints of what requests have in common, equal at all boxes.

Two requests have the same content if one organisation sends them with the same method,
host, path with query, and body. Ids, sessions, deadlines and headers that the system
adds differ between attempts and are not included. A part of a prompt is the same part
whoever sends it.
"""

import hashlib
import itertools
import typing as t

from ..ids import Fingerprint
from ..ids import OrgId
from ..tables.engines import PromptPart
from ..tables.suspects import RequestFeature

DIGEST_BYTES = 16
"""Length of a digest, in bytes: two of a billion contents collide with a probability of
1.5e-21."""


MAX_PARTS = 64
"""Maximum number of parts of a prompt that are features: each costs a digest a
request."""


def compute_fingerprint(
    org: OrgId, method: str, host: str, target: str, body: bytes, key: str = ""
) -> Fingerprint:
    """Return the fingerprint of a request's content.

    Parameters
    ----------
    org : str
        The organisation that sends the request; empty if it is anonymous.
    method, host, target : str
        The HTTP method, the requested host, and the path with its query.
    body : bytes
        The complete body.
    key : str
        A key that all boxes share, so that nobody can verify a guess of the content
        with a fingerprint that is stored or logged.
    """
    digest = hashlib.blake2b(key=key.encode()[:64], digest_size=DIGEST_BYTES)
    for part in (org, method, host, target):
        encoded = part.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    digest.update(body)
    return Fingerprint(digest.hexdigest())


def part_features(
    parts: t.Iterable[PromptPart], key: str = ""
) -> tuple[RequestFeature, ...]:
    """Return the features of a prompt's first `MAX_PARTS` shared parts, in order.

    `key` is that of :func:`compute_fingerprint`.
    """
    return tuple(
        RequestFeature(_part_fingerprint(part.name, key), position, part.name)
        for position, part in enumerate(itertools.islice(parts, MAX_PARTS))
    )


def _part_fingerprint(name: str, key: str) -> Fingerprint:
    digest = hashlib.blake2b(
        name.encode("utf-8", "surrogateescape"),
        key=key.encode()[:64],
        digest_size=DIGEST_BYTES,
        person=b"prompt part",
    )
    return Fingerprint(digest.hexdigest())
