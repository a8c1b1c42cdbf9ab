"""The list of tests that are known to fail: what it may hold, and what it does."""

import pathlib

import pytest

from known_red import CAUSE_MOST
from known_red import KnownRed
from known_red import read_known_red

pytest_plugins = ["pytester"]

LINE = "tests/test_a.py::test_b | the cause | issue 7"


def test_line_names_test_cause_and_issue(tmp_path):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(LINE + "\n")
    found = [KnownRed("tests/test_a.py::test_b", "the cause", "issue 7")]
    assert read_known_red(path) == found


@pytest.mark.parametrize("text", ["only a test", "a | b", "a |  | c", "\n" + LINE])
def test_other_lines_are_refused(tmp_path, text):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(text)
    with pytest.raises(ValueError, match="allowed is TEST"):
        read_known_red(path)


@pytest.mark.parametrize(
    ("text", "words"),
    [
        (f"{LINE}\n{LINE}", "listed twice"),
        ("a | b | later", "allowed is issue NUMBER"),
        (f"a | {CAUSE_MOST * 'b'}b | issue 7", f"allowed are {CAUSE_MOST}"),
    ],
)
def test_each_is_listed_once_shortly_and_under_an_issue(tmp_path, text, words):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(text + "\n")
    with pytest.raises(ValueError, match=words):
        read_known_red(path)


def test_listed_tests_alone_may_fail_and_are_printed(pytester, monkeypatch):
    """A listed test that fails does not fail the run; another one does."""
    tests = pathlib.Path(__file__).parent
    root = pytester.path
    (root / "tests").mkdir()
    for name in ("conftest.py", "known_red.py"):
        (root / "tests" / name).write_text((tests / name).read_text())
    (root / "tests" / "builders.py").write_text("OPERATOR = READER = 'x'\n")
    body = "def test_red(): assert 0\ndef test_other(): assert {}\n"
    (root / "tests" / "test_x.py").write_text(body.format(1))
    (root / "KNOWN-RED.txt").write_text("tests/test_x.py::test_red | why | issue 1\n")
    monkeypatch.setenv("PYTHONPATH", str(root / "tests"))
    done = pytester.runpytest_subprocess("tests")
    done.assert_outcomes(passed=1, xfailed=1)
    done.stdout.fnmatch_lines(["*known red: tests/test_x.py::test_red: failed*why*"])
    (root / "tests" / "test_x.py").write_text(body.format(0))
    pytester.runpytest_subprocess("tests").assert_outcomes(failed=1, xfailed=1)
