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

PAST = {"CHANGES.md", "MEASUREMENTS.md"}
"""Pages about the past, which name what is gone."""

GONE = {"VALUE_PER_TOKEN"}
"""Names that other pages quote as gone."""

CODE_FOLDERS = ("src", "tests", "bench", "examples", "deploy")


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


def code_files() -> list[pathlib.Path]:
    found = [ROOT / "Makefile", ROOT / "pyproject.toml"]
    for folder in CODE_FOLDERS:
        found += [path for path in (ROOT / folder).rglob("*.*") if path.is_file()]
    return [path for path in found if path.suffix != ".pyc"]


def quotes(page: pathlib.Path) -> list[str]:
    """Return what a page quotes in running text, without its blocks of code."""
    text = re.sub(r"```.*?```", "", page.read_text(), flags=re.DOTALL)
    return [" ".join(quote.split()) for quote in re.findall(r"`([^`]+)`", text)]


def module_text(name: str) -> str:
    """Return all modules of a name; a section of the settings may have it as well."""
    paths = [*(ROOT / "src").rglob(f"{name}.py"), *(ROOT / "src").rglob("settings.py")]
    return "\n".join(path.read_text() for path in paths)


class TestQuotedNames:
    """What pages quote of the code is still called that."""

    code = "\n".join(path.read_text() for path in code_files())
    words = frozenset(re.findall(r"\w+", code))
    modules = frozenset(path.stem for path in (ROOT / "src").rglob("*.py"))
    pages = pytest.mark.parametrize(
        "page", [page for page in PAGES if page.name not in PAST], ids=lambda p: p.name
    )

    @pages
    def test_files(self, page):
        for quote in quotes(page):
            for name in re.findall(r"(?:src|tests|bench|docs|deploy)/[\w./*-]+", quote):
                assert list(ROOT.glob(name.rstrip("./"))), name

    @pages
    def test_members_of_modules(self, page):
        """A module and what it defines, such as `systems.placing.choose_worker`."""
        for quote in quotes(page):
            for name in re.findall(r"^(?:\w+\.)*[a-z_]+\.\w+$", quote):
                module, member = name.split(".")[-2:]
                if module in self.modules and member not in self.modules:
                    assert re.search(rf"\b{member}\b", module_text(module)), name

    @pages
    def test_identifiers(self, page):
        """Words with an underscore, and classes such as `RouteRow`."""
        counters = r"spanshunt_(\w+)"
        for quote in quotes(page):
            for name in re.findall(r"\b(?:\w+_\w+|[A-Z][a-z]+[A-Z]\w+)\b", quote):
                known = re.sub(rf"^{counters}$", r"\1", name)
                known = re.sub(r"^store_status_\d+$", "store_status_", known)
                found = {name, known} & self.words or name in GONE
                assert found or f'f"{known}' in self.code or self.is_test(name), name

    def test_log_events(self):
        """The first column of the tables of log lines on the page for on-call staff."""
        page = (ROOT / "docs/OPERATIONS.md").read_text()
        rows = re.findall(r"^\| (`[^|]+`) \| ", page, re.MULTILINE)
        events = [
            event for row in rows for event in re.findall(r"(?<!with )`([^`]+)`", row)
        ]
        assert len(events) >= 30
        for event in events:
            assert f'"{event}"' in self.code, event

    def is_test(self, name: str) -> bool:
        return (ROOT / f"tests/{name}.py").exists()
