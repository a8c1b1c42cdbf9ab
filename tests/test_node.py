"""Whole boxes on the platform: settings, first catalog, the wall of the adapter."""

import asyncio
import pathlib
import re

import msgspec
import pytest

from fleet_builders import running_fleet
from spanshunt.exceptions import SettingsError
from spanshunt.platform.settings import load_node_settings

SOURCES = pathlib.Path(__file__).parent.parent / "src" / "spanshunt"


class TestSettings:
    """Settings of a box: checked, with the field named."""

    def test_unknown_and_bad_fields_are_named(self, tmp_path):
        good = {
            "box": "b",
            "domain": "north",
            "listen": {
                "callers": "127.0.0.1:1",
                "readiness": "127.0.0.1:2",
                "peers": "127.0.0.1:3",
                "metrics": "127.0.0.1:4",
            },
            "store": {"address": "127.0.0.1:5"},
        }
        path = tmp_path / "settings.json"
        path.write_bytes(msgspec.json.encode(good))
        assert load_node_settings(str(path)).domain == "north"
        for change, field in (
            ({"box": ""}, "$.box"),
            ({"extra": 1}, "extra"),
            ({"bounds": {"grace_s": -1}}, "$.bounds.grace_s"),
            ({"seeds": ["nowhere"]}, "$.seeds[0]"),
        ):
            path.write_bytes(msgspec.json.encode(good | change))
            with pytest.raises(SettingsError) as caught:
                load_node_settings(str(path))
            assert field in str(caught.value)
        with pytest.raises(SettingsError, match="can't be read"):
            load_node_settings(str(tmp_path / "none.json"))


class TestWall:
    """The platform's names stand in the adapter alone, and it decides nothing."""

    def test_no_name_of_the_wire_outside_the_adapter(self):
        names = re.compile(
            r"Attempt-Id|Response-Seal|Token-Counts|Prompt-Prefix|Not-Executed"
            r"|Expect-Instance|Instance-Load|Request-Priority|Credential\""
            r"|keyed\.|log-newest|log-read|log-append|TrafficSplit|StreamResume"
        )
        found = [
            str(path.relative_to(SOURCES))
            for path in SOURCES.rglob("*.py")
            if path.parent.name not in ("platform", "standins")
            and names.search(path.read_text())
        ]
        assert found == []

    def test_adapter_does_not_decide(self):
        """What chooses, judges or budgets is called by the product, not from here."""
        deciding = re.compile(
            r"systems\.(placing|cascading|estimating|keeping|repeats|sequential|timing"
            r"|admitting) import (?!Load$|RequestTokens$|RepeatBounds$)\w+",
            re.MULTILINE,
        )
        for path in (SOURCES / "platform").glob("*.py"):
            assert not deciding.findall(path.read_text()), path.name


class TestFirstCatalog:
    """Requests that come before a box knows its first catalog.

    Days with a final fault while the store was away: a caller's one retry met a box
    that had just started and was refused, 18 of 41 requests of two seconds.
    """

    async def test_request_waits_for_the_catalog_that_is_under_way(self):
        async with running_fleet() as fleet:
            node = fleet.boxes[0].node
            catalog, node.fleet.catalog = node.fleet.catalog, None
            asked = asyncio.create_task(fleet.ask(fleet.boxes[0], "/look/"))
            await asyncio.sleep(0.1)
            assert not asked.done()
            node.fleet.catalog = catalog
            assert (await asked).status == 200
            assert node.counters.value("requests_held.served") == 1

    async def test_request_is_refused_soon_where_no_catalog_comes(self):
        async with running_fleet() as fleet:
            node = fleet.boxes[0].node
            await node.close()
            fleet.store.topic("keyed.op").values.clear()
            box = await fleet.add_box("box-9")
            loop = asyncio.get_running_loop()
            began = loop.time()
            reply = await fleet.ask(box, "/look/", Deadline_Ms="2400")
            assert reply.status == 503
            assert loop.time() - began < 2.4 / 2
            assert 0.2 < float(reply.headers["Retry-After"]) <= 0.4
