"""Identifiers, each a type of its own so that mypy tells them apart."""

import typing as t

OrgId = t.NewType("OrgId", str)
"""An organisation that owns requests and is billed for them."""

ServiceId = t.NewType("ServiceId", str)
"""A service of the configuration or of the catalog, whichever the process has."""

ModelId = t.NewType("ModelId", str)
"""A model, for example ``redactor-grande``."""

VersionId = t.NewType("VersionId", str)
"""One version of a model, written ``model@version``."""

ClassId = t.NewType("ClassId", str)
"""A request class within a service, for example ``note``."""

WorkerId = t.NewType("WorkerId", str)
"""A backend server: ``host:port`` in ``spanshuntd``, else the key of its entry in the
platform's list, which a later run of it may use again."""

BoxId = t.NewType("BoxId", str)
"""A box, on which one process of this program runs; a restart keeps the name."""

DomainId = t.NewType("DomainId", str)
"""A failure domain."""

RegionId = t.NewType("RegionId", str)
"""A region that contains one or more failure domains."""

Incarnation = t.NewType("Incarnation", str)
"""One run of one daemon, written as the box id and a random suffix; never reused."""

RequestId = t.NewType("RequestId", str)
"""One request of a caller, unique across all boxes."""

WorkerIncarnation = t.NewType("WorkerIncarnation", str)
"""One run of a worker: its id, its start time if it reports one, and how often it came
back after this box had found that it ended, if ever."""

Fingerprint = t.NewType("Fingerprint", str)
"""Hex digest of a request's organisation, destination and content, by which equal
requests are recognised."""

SessionId = t.NewType("SessionId", str)
"""A caller's session, unique within its organisation."""

PlanId = t.NewType("PlanId", str)
"""The digest of a plan; confirming the same plan twice gives the same id."""

RolloutId = t.NewType("RolloutId", str)
"""One roll-out: the id of the plan that started it and its version."""

ObjectKey = t.NewType("ObjectKey", str)
"""A configuration object as plans name it, for example ``org/museo``."""

Offset = t.NewType("Offset", int)
"""A position in one stream of the platform's log or store, counted from 0. In the store
it contains the number of restores, so that positions rise across a restore."""

Millis = t.NewType("Millis", int)
"""A time or a duration in milliseconds."""

Micros = t.NewType("Micros", int)
"""An amount of money in millionths of the billing currency."""
