import pytest
from hypothesis import HealthCheck
from hypothesis import settings

from builders import OPERATOR
from builders import READER

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
    print_blob=True,
)
settings.load_profile("ci")


@pytest.fixture(autouse=True)
def secrets(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("TEST_OPERATOR", OPERATOR)
    monkeypatch.setenv("TEST_READER", READER)
    monkeypatch.setenv("TEST_SESSION_KEY", "session-key-for-tests")
