"""How old the proof is that the catalog known is the newest."""

from fleet_builders import make_fleet
from fleet_builders import ms
from spanshunt.ids import Offset
from spanshunt.systems.proving import proof_age
from spanshunt.systems.proving import prove_catalog


def test_nothing_is_proved_at_first():
    assert proof_age(make_fleet(), ms(5)) == -1


def test_reading_proves_as_of_its_beginning():
    fleet = make_fleet()
    prove_catalog(fleet, ms(2), Offset(7))
    assert proof_age(fleet, ms(5)) == 3_000
    assert fleet.catalog_proof.source == "box-1"


def test_reading_that_began_earlier_proves_nothing_more():
    fleet = make_fleet()
    prove_catalog(fleet, ms(2), Offset(7))
    prove_catalog(fleet, ms(1), Offset(6))
    assert fleet.catalog_proof.end == 7
