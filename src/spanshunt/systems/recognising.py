"""Which requests are the same: one content, asked again at any box.

Two requests are the same if one organisation asks one thing of one place: method, host,
path with query, and body. Ids, sessions, deadlines and what the system adds differ from
try to try and don't count.
"""

import hashlib

from ..ids import Fingerprint
from ..ids import OrgId

DIGEST_BYTES = 16
"""Length of a digest, in bytes: two of a billion contents are alike with a chance of
1.5e-21."""


def fingerprint_of(
    org: OrgId, method: str, host: str, target: str, body: bytes, key: str = ""
) -> Fingerprint:
    """Return the digest of a request's content.

    Parameters
    ----------
    org : str
        Whose request it is; empty for nobody's.
    method, host, target : str
        The HTTP method, the host asked for, and the path with its query.
    body : bytes
        The body, whole.
    key : str
        A key that all boxes share, so that a digest which is kept or logged tells
        nothing to those who guess the content.
    """
    digest = hashlib.blake2b(key=key.encode()[:64], digest_size=DIGEST_BYTES)
    for part in (org, method, host, target):
        raw = part.encode("utf-8", "surrogateescape")
        digest.update(len(raw).to_bytes(4, "big") + raw)
    digest.update(body)
    return Fingerprint(digest.hexdigest())
