"""Identifiers, each a type of its own so that mypy tells them apart."""

import typing as t

OrgId = t.NewType("OrgId", str)
"""An organisation that owns requests and is billed for them."""

ServiceId = t.NewType("ServiceId", str)
"""A model-backed or plain service that callers address by name."""

ModelId = t.NewType("ModelId", str)
"""A model, for example ``redactor-grande``."""

VersionId = t.NewType("VersionId", str)
"""One version of a model, written ``model@version``."""

ClassId = t.NewType("ClassId", str)
"""A request class within a service, for example ``note``."""

WorkerId = t.NewType("WorkerId", str)
"""A backend server, written ``host:port`` or, where runs have ids, the id of its
run."""

BoxId = t.NewType("BoxId", str)
"""A box that runs one ``spanshuntd``."""

DomainId = t.NewType("DomainId", str)
"""A failure domain."""

RegionId = t.NewType("RegionId", str)
"""Where some failure domains lie."""

Incarnation = t.NewType("Incarnation", str)
"""One run of one daemon: the box id and a random suffix. Never reused."""

RequestId = t.NewType("RequestId", str)
"""One caller request, unique over all boxes."""

LifeId = t.NewType("LifeId", str)
"""One life of a worker: its id, and when it started where an id may come again."""

Fingerprint = t.NewType("Fingerprint", str)
"""What requests of one content share: a digest of whose they are, where they go and
what they ask, in hex."""

SessionId = t.NewType("SessionId", str)
"""A caller's session, unique within its organisation."""

PlanId = t.NewType("PlanId", str)
"""The digest of a plan; confirming one plan twice gives one id."""

RolloutId = t.NewType("RolloutId", str)
"""One roll-out: the id of the plan that started it and its version."""

ObjectKey = t.NewType("ObjectKey", str)
"""A configuration object as plans name it, for example ``org/museo``."""

Offset = t.NewType("Offset", int)
"""A position in one stream of the platform's log, counted from 0."""

Millis = t.NewType("Millis", int)
"""A time or a duration in milliseconds."""

Micros = t.NewType("Micros", int)
"""An amount of money in millionths of the billing currency."""
