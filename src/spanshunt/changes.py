"""Changes: what a plan does to the configuration, one object each."""

import msgspec

from .ids import ObjectKey
from .ids import OrgId
from .ids import PlanId
from .ids import RolloutId
from .ids import ServiceId
from .ids import VersionId
from .tables.config import GuardRails
from .tables.config import OrgRow
from .tables.config import ServiceRow
from .tables.config import VersionRow


class PutService(msgspec.Struct, frozen=True, tag="put_service"):
    """Add a service or replace it."""

    row: ServiceRow

    @property
    def key(self) -> ObjectKey:
        """The object that changes."""
        return service_key(ServiceId(self.row.name))

    def describe(self) -> str:
        """Return the change in one line, for people."""
        return f"service {self.row.name}: {self.row.kind.value}"


class PutVersion(msgspec.Struct, frozen=True, tag="put_version"):
    """Add a version or replace it."""

    row: VersionRow

    @property
    def key(self) -> ObjectKey:
        """The object that changes."""
        return version_key(VersionId(self.row.name))

    def describe(self) -> str:
        """Return the change in one line, for people."""
        return f"version {self.row.name}: {self.row.state.value}"


class PutOrg(msgspec.Struct, frozen=True, tag="put_org"):
    """Add an organisation or replace it."""

    row: OrgRow

    @property
    def key(self) -> ObjectKey:
        """The object that changes."""
        return org_key(OrgId(self.row.name))

    def describe(self) -> str:
        """Return the change in one line, for people."""
        allowed = ", ".join(self.row.allowed) or "nothing"
        return f"organisation {self.row.name}: may use {allowed}"


class StartRollout(msgspec.Struct, frozen=True, tag="start_rollout"):
    """Let a version enter service in stages."""

    version: VersionId
    guards: GuardRails

    @property
    def key(self) -> ObjectKey:
        """The object that changes."""
        return version_key(self.version)

    def describe(self) -> str:
        """Return the change in one line, for people."""
        stages = ", ".join(f"{stage:.0%}" for stage in self.guards.stages)
        floor = f"{self.guards.good_floor:.0%}"
        return (
            f"version {self.version}: enters by {stages}; "
            f"pulled back when good answers fall under {floor}"
        )


class WithdrawVersion(msgspec.Struct, frozen=True, tag="withdraw_version"):
    """Give a version no new work from now on."""

    version: VersionId

    @property
    def key(self) -> ObjectKey:
        """The object that changes."""
        return version_key(self.version)

    def describe(self) -> str:
        """Return the change in one line, for people."""
        return f"version {self.version}: withdrawn, no new work"


Change = PutService | PutVersion | PutOrg | StartRollout | WithdrawVersion


class Plan(msgspec.Struct, frozen=True):
    """What an intent would change, for an operator to confirm.

    Attributes
    ----------
    name : str
        The digest of changes and base, so that a plan can't be altered under its name.
    changes : tuple
        The changes, in the order in which they are made.
    base : dict
        The revision, as planned against, of each object that the plan reads or writes.
    notes : tuple of str
        The estimate of load, cost and quality, and warnings, for people.
    """

    name: PlanId
    changes: tuple[Change, ...]
    base: dict[ObjectKey, int]
    notes: tuple[str, ...] = ()


def service_key(name: ServiceId) -> ObjectKey:
    """Return the key of a service."""
    return ObjectKey(f"service/{name}")


def version_key(name: VersionId) -> ObjectKey:
    """Return the key of a version and its roll-outs."""
    return ObjectKey(f"version/{name}")


def org_key(name: OrgId) -> ObjectKey:
    """Return the key of an organisation."""
    return ObjectKey(f"org/{name}")


def rollout_id(plan: PlanId, version: VersionId) -> RolloutId:
    """Return the id of the roll-out of `version` that `plan` starts."""
    return RolloutId(f"{version}#{plan[:8]}")
