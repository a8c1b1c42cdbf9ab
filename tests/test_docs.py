"""The pages name things that exist, and the made ones are up to date."""

import importlib
import pathlib
import re
import subprocess
import sys

import pytest

from spanshunt.cli import Command
from spanshunt.settings_page import settings_page

ROOT = pathlib.Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])


def test_settings_page_is_up_to_date():
    assert (ROOT / "docs/settings.md").read_text() == settings_page()


class TestPromises:
    page = (ROOT / "docs/PROMISES.md").read_text()

    def test_files_exist(self):
        for name in re.findall(r"`((?:tests|bench|examples)/[\w./]+)`", self.page):
            assert (ROOT / name).exists(), name

    def test_asserting_code_exists(self):
        for name in re.findall(r"`((?:\w+\.)+\w+)`", self.page):
            if name.endswith((".py", ".md")):
                continue
            parts = name.split(".")
            package = parts[0] if parts[0] == "bench" else f"spanshunt.{parts[0]}"
            found = importlib.import_module(package)
            for index, part in enumerate(parts[1:], 1):
                if not hasattr(found, part):
                    importlib.import_module(
                        f"{package}.{'.'.join(parts[1 : index + 1])}"
                    )
                found = getattr(found, part)

    def test_invariants_are_in_the_code(self):
        code = "".join(
            path.read_text()
            for folder in ("src", "bench")
            for path in (ROOT / folder).rglob("*.py")
        )
        names = re.findall(r"^\|[^|]+\| `([a-z-]+)` \|", self.page, re.MULTILINE)
        assert len(names) >= 9
        for name in names:
            assert f'"{name}"' in code, name


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_somewhere(page: pathlib.Path):
    for target in re.findall(r"\]\(([^)#]+)\)", page.read_text()):
        assert target.startswith("http") or (page.parent / target).exists(), target


def test_commands_of_the_tool_are_documented():
    page = (ROOT / "docs/operators.md").read_text()
    kinds = Command.__annotations__["command"]
    sources = [ROOT / "src/spanshunt" / name for name in ("cli.py", "cli_files.py")]
    text = "".join(source.read_text() for source in sources)
    names = re.findall(r'name="([a-z]+)"', text)
    assert {"plan", "trace", "fleet"} <= set(names)
    assert kinds is not None
    for name in names:
        assert f"spanshunt {name}" in page or name == "spanshunt", name


def test_pure_part_imports_no_io_library():
    """The tables and systems decide; only the shells do I/O."""
    code = (
        "import sys, pkgutil, importlib, spanshunt\n"
        "import spanshunt.tables, spanshunt.systems\n"
        "for package in (spanshunt.tables, spanshunt.systems):\n"
        "    for row in pkgutil.iter_modules(package.__path__):\n"
        "        importlib.import_module(package.__name__ + '.' + row.name)\n"
        "bad = {'aiohttp', 'grpclib', 'asyncio', 'socket', 'statsd', 'loguru'}\n"
        "print(sorted(bad & set(sys.modules)))\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"
