"""Settings: errors name file, field, value and what is allowed."""

import pathlib

import msgspec
import pytest

from builders import some_settings
from spanshunt.exceptions import SettingsError
from spanshunt.settings import load_settings

ROOT = pathlib.Path(__file__).parent.parent


def written(tmp_path: pathlib.Path, raw: object) -> str:
    path = tmp_path / "box.json"
    path.write_bytes(msgspec.json.encode(raw))
    return str(path)


class TestErrors:
    @pytest.mark.parametrize(
        ("changes", "field", "words"),
        [
            ({"box": "Box 1"}, "$.box", "Box 1"),
            ({"colour": "red"}, "$", "colour"),
            ({"timing": {"tick_ms": 0}}, "$.timing.tick_ms", "0"),
            ({"journal": {"copies": 9}}, "$.journal.copies", "9"),
            ({"session_keys": []}, "$.session_keys", "length"),
            ({"session_keys": [{}]}, "$.session_keys[0]", "exactly one"),
            ({"session_keys": [{"env": "NOT_SET"}]}, "$.session_keys[0]", "NOT_SET"),
        ],
    )
    def test_problem_names_file_field_and_value(
        self, tmp_path, changes, field: str, words: str
    ):
        path = written(tmp_path, some_settings(**changes))
        with pytest.raises(SettingsError) as caught:
            load_settings(path)
        assert caught.value.path == path
        assert caught.value.field == field
        assert words in str(caught.value)

    def test_no_file(self, tmp_path):
        with pytest.raises(SettingsError, match="can't be read"):
            load_settings(str(tmp_path / "none.json"))

    def test_secret_is_not_shown(self, tmp_path, monkeypatch):
        monkeypatch.setenv("SHORT", "hush")
        path = written(tmp_path, some_settings(session_keys=[{"env": "SHORT"}]))
        with pytest.raises(SettingsError) as caught:
            load_settings(path)
        assert "hush" not in str(caught.value)


def test_examples_are_valid(monkeypatch):
    monkeypatch.setenv("SPANSHUNT_OPERATOR", "example-operator-credential")
    monkeypatch.setenv("SPANSHUNT_SESSION_KEY", "example-session-key")
    files = sorted(ROOT.glob("examples/*/*-?.json"))
    assert len(files) == 12
    for file in files:
        load_settings(str(file))
