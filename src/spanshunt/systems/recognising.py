"""Fingerprints of requests: equal for all requests with one content, at any box.

Two requests have the same content if one organisation sends them with the same method,
host, path with query, and body. Ids, sessions, deadlines and headers that the system
adds differ between attempts and are not included.
"""

import hashlib

from ..ids import Fingerprint
from ..ids import OrgId

DIGEST_BYTES = 16
"""Length of a digest, in bytes: two of a billion contents collide with a probability of
1.5e-21."""


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
