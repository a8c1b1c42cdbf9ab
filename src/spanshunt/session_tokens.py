"""Signed session tokens, which carry a session's versions from box to box.

The same keys sign plans.
"""

import msgspec
from itsdangerous import BadSignature
from itsdangerous import URLSafeSerializer
from result import Err
from result import Ok
from result import Result

from .ids import OrgId
from .ids import PlanId
from .ids import SessionId
from .ids import VersionId
from .utils import is_text

_SALT = "spanshunt-session"
_PLAN_SALT = "spanshunt-plan"
_MARK = "v1:"
MAX_TOKEN = 2_000
"""The longest token taken, in characters."""


class SessionToken(msgspec.Struct, frozen=True):
    """What a token carries.

    Attributes
    ----------
    org : str
        The organisation that it was given to.
    session : str
        The session's id.
    pins : dict
        The version by what was asked for (``service/class/model``).
    """

    org: OrgId
    session: SessionId
    pins: dict[str, VersionId] = {}


class BadToken(msgspec.Struct, frozen=True):
    """A token that can't be taken, and why."""

    reason: str


class SessionSigner:
    """Signs and checks tokens.

    Parameters
    ----------
    keys : list of str
        All keys that are accepted; the last one signs.
    """

    def __init__(self, keys: list[str]) -> None:
        self._serializer = URLSafeSerializer(keys, salt=_SALT)
        self._plans = URLSafeSerializer(keys, salt=_PLAN_SALT)

    def sign_plan(self, plan: PlanId) -> str:
        """Return the proof that a box of this system made a plan."""
        return str(self._plans.dumps(plan))

    def read_plan(self, signature: str) -> PlanId:
        """Return the plan that a signature is for.

        Raises
        ------
        itsdangerous.BadSignature
            If none of the keys made it.
        """
        return PlanId(str(self._plans.loads(signature)))

    def sign(self, token: SessionToken) -> str:
        """Return the token as a header value."""
        payload = msgspec.to_builtins(token)
        return _MARK + str(self._serializer.dumps(payload))

    def read(self, header: str, org: OrgId) -> Result[SessionToken, BadToken]:
        """Read a header value: a token, or a bare id that names a session.

        Parameters
        ----------
        header : str
            What the caller sent.
        org : str
            The organisation that the caller's credential belongs to.
        """
        if len(header) > MAX_TOKEN:
            return Err(BadToken(f"longer than {MAX_TOKEN} characters"))
        if not is_text(header):
            return Err(BadToken("it is not UTF-8"))
        if not header.startswith(_MARK):
            return Ok(SessionToken(org, SessionId(header)))
        try:
            payload = self._serializer.loads(header[len(_MARK) :])
            token = msgspec.convert(payload, SessionToken)
        except (BadSignature, msgspec.ValidationError):
            return Err(BadToken("its signature does not fit"))
        if token.org != org:
            return Err(BadToken("it was given to another organisation"))
        return Ok(token)
