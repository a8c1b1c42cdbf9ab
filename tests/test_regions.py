"""Requests whose route or organisation names regions reach no worker elsewhere."""

import json

from fleet_builders import CONFIG
from fleet_builders import add_worker
from fleet_builders import config
from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from fleet_builders import running_fleet
from fleet_builders import seeded
from fleet_builders import until
from spanshunt.ids import DomainId
from spanshunt.ids import RegionId
from spanshunt.ids import ServiceId
from spanshunt.platform.wire import decode_catalog
from spanshunt.systems.admitting import Asked
from spanshunt.systems.admitting import admit
from spanshunt.systems.placing import PlacementRequest
from spanshunt.systems.placing import choose_worker
from spanshunt.systems.ramping import VersionRule

HERE, ABROAD = RegionId("here"), RegionId("abroad")


def homes(*names: str) -> frozenset[RegionId]:
    return frozenset(RegionId(name) for name in names)


def chosen(*regions: frozenset[RegionId]) -> str | None:
    fleet = make_fleet()
    fleet.regions = {DomainId("north"): HERE, DomainId("south"): ABROAD}
    add_worker(fleet, make_worker("w-north")).inflight = 7
    add_worker(fleet, make_worker("w-south", domain="south"))
    add_worker(fleet, make_worker("w-lost", domain="nobody knows it"))
    wanted = PlacementRequest(
        ServiceId("writer"),
        VersionRule(),
        DomainId("east"),
        tried=["w-lost"],
        regions=regions,
    )
    found = choose_worker(fleet, wanted, ms(1), seeded())
    return found.worker.name if found is not None else None


def test_worker_is_in_the_regions_that_are_named():
    assert chosen() == "w-south"
    assert chosen(homes()) == "w-south"
    assert chosen(homes("here")) == "w-north"
    assert chosen(homes("here", "abroad")) == "w-south"


def test_regions_of_route_and_organisation_both_bind():
    assert chosen(homes("here", "abroad"), homes("here")) == "w-north"
    assert chosen(homes("here"), homes("abroad")) is None


def test_domain_whose_region_is_not_known_is_in_none():
    fleet = make_fleet()
    add_worker(fleet, make_worker("w-lost", domain="nobody knows it"))
    wanted = PlacementRequest(
        ServiceId("writer"),
        VersionRule(),
        fleet.identity.domain,
        allow_tried=True,
        regions=(homes("here"),),
    )
    assert choose_worker(fleet, wanted, ms(1), seeded()) is None


def test_catalog_tells_the_regions():
    routes = [{**CONFIG["Routes"][0], "AllowedRegions": ["here", "abroad"]}]
    orgs = [{**CONFIG["Tenants"][0], "AllowedRegions": ["here"]}]
    raw = json.dumps(config(Routes=routes, Tenants=orgs)).encode()
    catalog = decode_catalog(raw).ok_value
    asked = Asked(routes[0]["Hostname"], "/long/x", orgs[0]["ApiKeys"][0])
    assert admit(catalog, asked).ok_value.regions == (
        homes("here", "abroad"),
        homes("here"),
    )


async def test_request_that_no_worker_may_answer_is_refused_at_once():
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        box.node.fleet.regions = {DomainId("north"): HERE}
        routes = [{**row, "AllowedRegions": ["abroad"]} for row in CONFIG["Routes"]]
        await fleet.configure(config(8, Routes=routes))
        await until(lambda: box.node.fleet.catalog.version == 8, "the configuration")
        reply = await fleet.ask(box, "/look/a")
        assert reply.status == 503
        assert not any(worker.seen for worker in fleet.workers.values())
