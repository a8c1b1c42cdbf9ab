"""Pairs of plays: the same days and seeds with old and with new code.

``python -m bench.pairs play`` plays days of site files with the code of one checkout
and keeps what each earned; ``python -m bench.pairs compare`` sets two such files
against each other. The bench program is given by its path. ``--vary`` plays a changed
copy of a site, so that a gain has to show on sites that nobody tuned for.
"""

import concurrent.futures
import json
import pathlib
import re
import shutil
import statistics
import subprocess
import tempfile
import typing as t

import cappa

PLAY_TIMEOUT_S = 1_500
"""Longest that one play may take, in s: a day of 91 boxes takes some minutes."""

VARIATIONS = {
    "reads-half": (r"prefill_tokens_per_ms = ([\d.]+)", 0.5),
    "reads-double": (r"prefill_tokens_per_ms = ([\d.]+)", 2.0),
    "memory-half": (r"kv_tokens = ([\d.]+)", 0.5),
    "memory-double": (r"kv_tokens = ([\d.]+)", 2.0),
    "slots-half": (r"(?:slots|batch) = ([\d.]+)(?=.*llm)", 0.5),
    "models-half": (r"quality = [\d.]+, cost = ([\d.]+)", 0.5),
    "models-double": (r"quality = [\d.]+, cost = ([\d.]+)", 2.0),
    "far-half": (r"cross_zone_gb = ([\d.]+)", 0.5),
    "far-double": (r"cross_zone_gb = ([\d.]+)", 2.0),
    "worth-double": (r"worth = ([\d.]+)(?=.*kind = \"stream\")", 2.0),
}
"""What may be varied: the numbers in a site file, and what they are multiplied by."""

_ENTRY = re.compile(r"^snapshot (\w+)$", re.MULTILINE)
"""How a play names its entry in the journal of its checkout."""


class Play(t.NamedTuple):
    """One play to make: which site file, day and seed."""

    site: pathlib.Path
    day: str
    seed: int

    @property
    def key(self) -> str:
        """What the play is kept under."""
        return f"{self.site.stem} {self.day} {self.seed}"


def vary(site: pathlib.Path, name: str, into: pathlib.Path) -> pathlib.Path:
    """Write a copy of a site with one kind of number changed; return its path."""
    pattern, factor = VARIATIONS[name]
    folder = into / f"{site.stem}-{name}"
    folder.mkdir(parents=True)
    for file in site.parent.iterdir():
        if file.suffix in (".json", ".days") or file.name == "CUT":
            shutil.copy(file, folder / file.name)
    text = site.read_text()
    changed, count = re.subn(pattern, lambda m: _scaled(m, factor), text)
    if not count:
        raise cappa.Exit(f"{site}: nothing to vary for {name}", code=2)
    path = folder / f"{site.stem}-{name}.toml"
    path.write_text(changed)
    return path


def _scaled(match: re.Match[str], factor: float) -> str:
    value = float(match[1]) * factor
    whole = "." not in match[1]
    text = str(max(1, int(value))) if whole else f"{value:.6g}"
    start, end = match.start(1) - match.start(), match.end(1) - match.start()
    return match[0][:start] + text + match[0][end:]


@cappa.command(name="play", help="Play days with the code of one checkout.")
class PlayDays:
    """Arguments of ``play``."""

    program: t.Annotated[str, cappa.Arg(long=True, help="The users' bench.")]
    checkout: t.Annotated[str, cappa.Arg(long=True, help="Whose code.")]
    out: t.Annotated[str, cappa.Arg(long=True, help="Where results go (JSON).")]
    why: t.Annotated[str, cappa.Arg(long=True, help="For the journal.")]
    days: t.Annotated[str, cappa.Arg(long=True, help="Names, by commas.")]
    seeds: t.Annotated[str, cappa.Arg(long=True, help="Numbers, by commas.")]
    sites: t.Annotated[list[str], cappa.Arg(help="Site files.")]
    vary: t.Annotated[str, cappa.Arg(long=True, help="Of VARIATIONS.")] = ""
    jobs: t.Annotated[int, cappa.Arg(long=True, help="Plays at once.")] = 6
    counted: t.Annotated[bool, cappa.Arg(long=True, help="Count the time.")] = False

    def __call__(self) -> None:
        """Play and keep what each play earned."""
        with tempfile.TemporaryDirectory() as folder:
            self._play_all(pathlib.Path(folder))

    def _play_all(self, folder: pathlib.Path) -> None:
        sites = [pathlib.Path(site).resolve() for site in self.sites]
        if self.vary:
            sites = [vary(site, self.vary, folder) for site in sites]
        plays = [
            Play(site, day, int(seed))
            for site in sites
            for day in self.days.split(",")
            for seed in self.seeds.split(",")
        ]
        with concurrent.futures.ThreadPoolExecutor(self.jobs) as pool:
            found = dict(
                zip([p.key for p in plays], pool.map(self._play, plays), strict=True)
            )
        pathlib.Path(self.out).write_text(json.dumps(found, indent=1))
        earned = [row["worth"] for row in found.values() if row["worth"] is not None]
        print(
            f"{len(earned)} of {len(plays)} plays, mean {statistics.mean(earned):.3f}"
        )

    def _play(self, play: Play) -> dict[str, t.Any]:
        command = [self.program, "run", str(play.site), play.day]
        command += ["--seed", str(play.seed), "--why", self.why]
        command += [] if self.counted else ["--no-cpu"]
        done = subprocess.run(
            command,
            cwd=self.checkout,
            capture_output=True,
            text=True,
            timeout=PLAY_TIMEOUT_S,
            check=False,
        )
        return _earned(done.stdout, pathlib.Path(self.checkout))


def _earned(printed: str, checkout: pathlib.Path) -> dict[str, t.Any]:
    """Return what the journal's entry of a play says that it earned."""
    match = _ENTRY.search(printed)
    if match is None:
        return {"worth": None, "served": None, "broken": [printed[-300:]]}
    entry = next((checkout / "journal").glob(f"*-{match[1]}.json"))
    day = json.loads(entry.read_text())["days"][0]
    broken = [f"{rule}: {count}" for rule, count in day["rules"].items()]
    broken += [str(day["fault"])] if day["fault"] else []
    return {
        "worth": day["G"],
        "served": day["served"],
        "broken": broken,
        "entry": entry.name,
        "text": printed[:12_000],
    }


@cappa.command(name="compare", help="Set two files of results against each other.")
class Compare:
    """Arguments of ``compare``."""

    old: t.Annotated[str, cappa.Arg(help="Results before.")]
    new: t.Annotated[str, cappa.Arg(help="Results after.")]

    def __call__(self) -> None:
        """Print a row a site: means, gain, its spread, and how many got worse."""
        old = json.loads(pathlib.Path(self.old).read_text())
        new = json.loads(pathlib.Path(self.new).read_text())
        groups: dict[str, list[str]] = {}
        for key in old:
            if key in new and None not in (old[key]["worth"], new[key]["worth"]):
                site, day, _seed = key.split()
                groups.setdefault(site, []).append(key)
                groups.setdefault(f"{site} {day}", []).append(key)
        for name in sorted(groups):
            keys = groups[name]
            before = [old[key]["worth"] for key in keys]
            after = [new[key]["worth"] for key in keys]
            gains = [b - a for a, b in zip(before, after, strict=True)]
            spread = statistics.stdev(gains) if len(gains) > 1 else 0.0
            print(
                f"{name:<34} {len(keys):>3} plays  "
                f"{statistics.mean(before):.3f} {statistics.mean(after):.3f}  "
                f"gain {statistics.mean(gains):+.3f} (spread {spread:.3f}, "
                f"worse {sum(gain < 0 for gain in gains)})"
            )
        for key, row in new.items():
            for line in row["broken"]:
                print(f"! {key}: {line}")


@cappa.command(name="pairs", help="Pairs of plays, old code against new.")
class Pairs:
    """The command."""

    command: cappa.Subcommands[PlayDays | Compare]


if __name__ == "__main__":
    cappa.invoke(Pairs)
