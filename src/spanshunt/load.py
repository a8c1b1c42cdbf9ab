"""``spanshunt-load``: open-loop load, with every answer checked whole and its own."""

import asyncio
import os
import pathlib
import random
import sys
import time
import typing as t
from dataclasses import dataclass

import aiohttp
import cappa
import msgspec
from hdrh.histogram import HdrHistogram

from .exceptions import InvalidInputError
from .utils import decode_document
from .version import __version__

_DIGITS = 2
_MOST_US = 3_600_000_000
_END_MARK = b"data: [DONE]\n\n"

Range = tuple[
    t.Annotated[int, msgspec.Meta(ge=0)], t.Annotated[int, msgspec.Meta(ge=0)]
]
"""Least and most, both included; draws are heavy-tailed between them."""


class MixRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of request in a mix.

    Attributes
    ----------
    name : str
        For the report.
    weight : float
        Its part of the requests, against the others'.
    credential_env : str
        Environment variable with the caller's credential.
    model, request_class : str
        What is asked of a model service.
    service, method, path : str
        What is called of a plain service, instead of a model.
    prompt_tokens, output_tokens : (int, int)
        Lengths.
    stream : bool
        Whether the answer is streamed.
    sessions : int
        How many sessions the requests share; 0 for none.
    keyed : bool
        Whether each call has a key of its own.
    """

    name: str
    credential_env: str
    weight: t.Annotated[float, msgspec.Meta(gt=0)] = 1.0
    model: str = ""
    request_class: str = ""
    service: str = ""
    method: str = "POST"
    path: str = "/"
    prompt_tokens: Range = (50, 500)
    output_tokens: Range = (10, 100)
    stream: bool = True
    sessions: int = 0
    keyed: bool = False


class LoadSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A load.

    Attributes
    ----------
    targets : tuple of str
        Callers' APIs, taken in turn as a balancer would.
    rate : float
        Requests a second, with Poisson arrivals.
    seconds : float
        How long requests begin.
    mix : tuple of MixRow
        The kinds of request.
    seed : int
        Seed of all draws.
    """

    targets: t.Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]
    rate: t.Annotated[float, msgspec.Meta(gt=0)]
    seconds: t.Annotated[float, msgspec.Meta(gt=0, le=86_400)]
    mix: t.Annotated[tuple[MixRow, ...], msgspec.Meta(min_length=1)]
    seed: int = 0


class KindReport(msgspec.Struct):
    """What became of one kind of request; times in ms."""

    name: str
    sent: int = 0
    whole: int = 0
    wrong: int = 0
    refused_not_run: int = 0
    refused_unknown: int = 0
    cut: int = 0
    ttft_p50: float = 0.0
    ttft_p95: float = 0.0
    between_p95: float = 0.0
    total_p50: float = 0.0
    total_p95: float = 0.0
    total_p99: float = 0.0


class LoadReport(msgspec.Struct):
    """What became of a load.

    Attributes
    ----------
    kinds : list of KindReport
        By kind of request.
    versions : dict
        Answers by version.
    requests : list of str
        Ids of the requests that were answered whole.
    sessions_moved : int
        Answers whose session was told that it moved.
    problems : dict
        Refusals by kind.
    """

    kinds: list[KindReport] = []
    versions: dict[str, int] = {}
    requests: list[str] = []
    sessions_moved: int = 0
    problems: dict[str, int] = {}


class _Times(msgspec.Struct):
    ttft: HdrHistogram
    between: HdrHistogram
    total: HdrHistogram


class _Run:
    """The state of one load run."""

    def __init__(self, spec: LoadSpec, http: aiohttp.ClientSession) -> None:
        self.spec = spec
        self.http = http
        self.rng = random.Random(spec.seed)
        self.report = LoadReport()
        self.kinds = {row.name: KindReport(row.name) for row in spec.mix}
        self.times = {row.name: _new_times() for row in spec.mix}
        self.tokens: dict[str, str] = {}
        self.count = 0


async def run_load(spec: LoadSpec) -> LoadReport:
    """Run a load to its end and return what became of it."""
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=300)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as http:
        run = _Run(spec, http)
        await _arrivals(run)
    return _finish(run)


async def _arrivals(run: _Run) -> None:
    spec = run.spec
    weights = [row.weight for row in spec.mix]
    began = time.monotonic()
    at = 0.0
    async with asyncio.TaskGroup() as group:
        while True:
            at += run.rng.expovariate(spec.rate)
            if at >= spec.seconds:
                return
            row = run.rng.choices(spec.mix, weights)[0]
            await asyncio.sleep(max(0.0, began + at - time.monotonic()))
            target = spec.targets[run.count % len(spec.targets)]
            run.count += 1
            group.create_task(_one(run, row, target, run.count))


async def _one(run: _Run, row: MixRow, target: str, number: int) -> None:
    kind = run.kinds[row.name]
    kind.sent += 1
    try:
        if row.service:
            await _plain(run, row, target, number)
        else:
            await _chat(run, row, target, number)
    except (aiohttp.ClientError, TimeoutError, ConnectionError):
        kind.cut += 1


async def _chat(run: _Run, row: MixRow, target: str, number: int) -> None:
    nonce = f"n{run.spec.seed}-{number}"
    tokens = _draw(run.rng, row.output_tokens)
    session = f"s{run.rng.randrange(row.sessions)}" if row.sessions else ""
    headers = _headers(row)
    if row.request_class:
        headers["Spanshunt-Class"] = row.request_class
    if session:
        held = run.tokens.get(f"{row.name}/{session}")
        headers["Spanshunt-Session"] = held or f"{row.name}-{session}"
    body = _chat_body(run, row, nonce, tokens)
    kind, times = run.kinds[row.name], run.times[row.name]
    began = time.perf_counter()
    url = f"{target}/v1/chat/completions"
    async with run.http.post(url, json=body, headers=headers) as res:
        if res.status != 200:
            _count_refusal(run, kind, await res.read())
            return
        first, blocks = 0.0, []
        async for block in res.content.iter_any():
            first = first or time.perf_counter()
            blocks.append(block)
        ended = time.perf_counter()
        _note_headers(run, row, session, res)
        whole = b"".join(blocks)
        if not _is_whole(whole, nonce, tokens, row.stream):
            if b"event: error" in whole:
                kind.cut += 1
            else:
                kind.wrong += 1
            return
        kind.whole += 1
        run.report.requests.append(res.headers["X-Request-Id"])
        times.ttft.record_value(_us(first - began))
        times.between.record_value(_us((ended - first) / max(1, tokens)))
        times.total.record_value(_us(ended - began))


async def _plain(run: _Run, row: MixRow, target: str, number: int) -> None:
    headers = _headers(row)
    if row.keyed:
        headers["Idempotency-Key"] = f"k{run.spec.seed}-{number}"
    kind, times = run.kinds[row.name], run.times[row.name]
    url = f"{target}/services/{row.service}{row.path}"
    began = time.perf_counter()
    async with run.http.request(row.method, url, headers=headers) as res:
        body = await res.read()
        if res.content_type == "application/problem+json":
            _count_refusal(run, kind, body)
            return
        kind.whole += 1
        run.report.requests.append(res.headers["X-Request-Id"])
        times.total.record_value(_us(time.perf_counter() - began))


def _headers(row: MixRow) -> dict[str, str]:
    return {"Authorization": f"Bearer {os.environ[row.credential_env]}"}


def _chat_body(run: _Run, row: MixRow, nonce: str, tokens: int) -> dict[str, t.Any]:
    filler = "x" * (4 * _draw(run.rng, row.prompt_tokens))
    content = f"nonce={nonce} tokens={tokens} {filler}"
    messages = [{"role": "user", "content": content}]
    return {"model": row.model, "stream": row.stream, "messages": messages}


def _note_headers(
    run: _Run, row: MixRow, session: str, res: aiohttp.ClientResponse
) -> None:
    version = res.headers.get("Spanshunt-Version", "")
    run.report.versions[version] = run.report.versions.get(version, 0) + 1
    if "Spanshunt-Session-Moved" in res.headers:
        run.report.sessions_moved += 1
    if session:
        run.tokens[f"{row.name}/{session}"] = res.headers["Spanshunt-Session"]


def _is_whole(body: bytes, nonce: str, tokens: int, stream: bool) -> bool:
    """Check that an answer has each of its words once, in order, and no other."""
    if stream and not body.endswith(_END_MARK):
        return False
    at = 0
    for word in [f"{nonce}.{index} " for index in range(tokens)] + [f"{nonce}.end"]:
        found = body.find(word.encode(), at)
        if found < 0:
            return False
        at = found + len(word)
    mark = b'"content":"'
    return not stream or body.count(mark) == body.count(mark + nonce.encode() + b".")


def _count_refusal(run: _Run, kind: KindReport, body: bytes) -> None:
    problem = msgspec.json.decode(body)
    title = str(problem.get("title", "?"))
    run.report.problems[title] = run.report.problems.get(title, 0) + 1
    if problem.get("run") == "no":
        kind.refused_not_run += 1
    else:
        kind.refused_unknown += 1


def _finish(run: _Run) -> LoadReport:
    for name, kind in run.kinds.items():
        times = run.times[name]
        kind.ttft_p50 = _ms(times.ttft, 50)
        kind.ttft_p95 = _ms(times.ttft, 95)
        kind.between_p95 = _ms(times.between, 95)
        kind.total_p50 = _ms(times.total, 50)
        kind.total_p95 = _ms(times.total, 95)
        kind.total_p99 = _ms(times.total, 99)
    run.report.kinds = list(run.kinds.values())
    return run.report


def _draw(rng: random.Random, bounds: Range) -> int:
    """Draw a length: log-uniform, so that most are short and some are long."""
    low, high = bounds
    if low >= high:
        return low
    return int(max(1, low) * (high / max(1, low)) ** rng.random())


def _new_times() -> _Times:
    return _Times(*(HdrHistogram(1, _MOST_US, _DIGITS) for _ in range(3)))


def _us(seconds: float) -> int:
    return max(1, int(seconds * 1_000_000))


def _ms(histogram: HdrHistogram, percentile: float) -> float:
    return float(histogram.get_value_at_percentile(percentile)) / 1000


def as_text(report: LoadReport) -> str:
    """Return a report for people."""
    lines = [
        f"{'kind':<22}{'sent':>6}{'whole':>7}{'wrong':>6}{'cut':>5}"
        f"{'no':>5}{'unk':>5}{'ttft95':>9}{'total50':>9}{'total95':>9}"
    ]
    for kind in report.kinds:
        lines.append(
            f"{kind.name:<22}{kind.sent:>6}{kind.whole:>7}{kind.wrong:>6}{kind.cut:>5}"
            f"{kind.refused_not_run:>5}{kind.refused_unknown:>5}"
            f"{kind.ttft_p95:>9.1f}{kind.total_p50:>9.1f}{kind.total_p95:>9.1f}"
        )
    versions = ", ".join(f"{name} {n}" for name, n in sorted(report.versions.items()))
    lines.append(f"answers by version: {versions or 'none'}")
    if report.problems:
        problems = ", ".join(f"{name} {n}" for name, n in report.problems.items())
        lines.append(f"refusals: {problems}")
    return "\n".join(lines)


@cappa.command(name="spanshunt-load", help="Open-loop load with checked answers.")
@dataclass
class LoadCommand:
    """Arguments of the load tool."""

    spec: t.Annotated[str, cappa.Arg(help="The load, a JSON file.")]
    as_json: t.Annotated[bool, cappa.Arg(long="--json", help="JSON output.")] = False

    def __call__(self) -> None:
        """Run the load; exit with 1 if an answer was wrong."""
        try:
            spec = decode_document(pathlib.Path(self.spec).read_bytes(), LoadSpec)
        except InvalidInputError as exc:
            raise cappa.Exit(f"{self.spec}: {exc}", code=2) from exc
        report = asyncio.run(run_load(spec))
        if self.as_json:
            sys.stdout.buffer.write(msgspec.json.encode(report) + b"\n")
        else:
            print(as_text(report))
        if any(kind.wrong for kind in report.kinds):
            raise cappa.Exit(code=1)


def main() -> None:
    """Run the load tool from the command line."""
    cappa.invoke(LoadCommand, version=__version__)
