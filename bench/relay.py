"""The hot path against a bare byte relay and against direct calls, in one run.

Run with ``python -m bench.relay``. Engine, relay and daemon are processes of their own;
processor time is read from the system's accounting of each process.
"""

import asyncio
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
import typing as t

import aiohttp
import uvloop
from aiohttp import web

HOST = "127.0.0.1"
ENGINE = 7911
RELAY = 7912
CALLERS = 7913
SECRETS = {
    "BENCH_OPERATOR": "bench-operator-credential",
    "BENCH_SESSION": "bench-session-key",
}
CREDENTIAL = "bench-caller-credential"
ROUNDS = 2
STREAMS = 40
TOKENS = 400
_TICKS = os.sysconf("SC_CLK_TCK")


class Figures(t.NamedTuple):
    """One way's figures: microseconds a request and token, first token in ms."""

    cpu_s: float
    wall_s: float
    ttft_p50: float
    ttft_p99: float


def relay_app() -> web.Application:
    """Return a relay that passes bytes on and does nothing else."""
    app = web.Application()
    sessions: list[aiohttp.ClientSession] = []

    async def start(_app: web.Application) -> None:
        sessions.append(aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)))

    async def handle(req: web.Request) -> web.StreamResponse:
        body = await req.read()
        url = f"http://{HOST}:{ENGINE}/v1/chat/completions"
        async with sessions[0].post(url, data=body) as upstream:
            res = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await res.prepare(req)
            async for block in upstream.content.iter_any():
                await res.write(block)
            await res.write_eof()
            return res

    app.on_startup.append(start)
    app.router.add_post("/v1/chat/completions", handle)
    return app


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


async def drive(url: str, streams: int, tokens: int, rounds: int) -> list[float]:
    """Ask for streams at once, some rounds of them; return times to the first byte."""
    headers = {"Authorization": f"Bearer {CREDENTIAL}"}
    content = f"nonce=n tokens={tokens}"
    body = {
        "model": "chico@1",
        "stream": True,
        "stream_options": {"include_usage": True},
        "messages": [{"role": "user", "content": content}],
    }
    firsts: list[float] = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:

        async def one() -> None:
            began = time.perf_counter()
            async with http.post(url, json=body, headers=headers) as res:
                first = 0.0
                size = 0
                async for block in res.content.iter_any():
                    first = first or time.perf_counter()
                    size += len(block)
                if res.status != 200 or size < tokens * 50:
                    raise RuntimeError(f"{url}: {res.status}, {size} bytes")
                firsts.append((first - began) * 1000)

        for _ in range(rounds):
            await asyncio.gather(*(one() for _ in range(streams)))
    return firsts


async def measure(
    url: str, pid: int, streams: int, tokens: int, rounds: int
) -> Figures:
    """Measure one way."""
    await drive(url, 4, tokens, 1)
    before = cpu_seconds(pid)
    began = time.perf_counter()
    firsts = sorted(await drive(url, streams, tokens, rounds))
    return Figures(
        cpu_seconds(pid) - before,
        time.perf_counter() - began,
        statistics.median(firsts),
        firsts[int(len(firsts) * 0.99) - 1],
    )


async def main() -> None:
    """Start the processes, measure and print."""
    if sys.argv[1:] == ["relay"]:
        await _serve_relay()
        return
    for packet in (1, 8):
        await _compare(packet)


async def _serve_relay() -> None:
    runner = web.AppRunner(relay_app(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, HOST, RELAY).start()
    await asyncio.Event().wait()


async def _compare(packet: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        processes = _start(pathlib.Path(folder), packet)
        try:
            await _configure()
            await _print(processes, packet)
        finally:
            for process in processes.values():
                process.kill()
                process.wait()


def _start(folder: pathlib.Path, packet: int) -> dict[str, subprocess.Popen[bytes]]:
    bin_dir = pathlib.Path(sys.executable).parent
    boxes = folder / "boxes.json"
    engine = {
        "name": "e",
        "address": f"{HOST}:{ENGINE}",
        "domain": "d",
        "service": "s",
        "versions": ["chico@1"],
    }
    router = {"name": "box", "address": f"{HOST}:7915", "domain": "d"}
    boxes.write_text(json.dumps({"boxes": [engine, router]}))
    settings = folder / "box.json"
    settings.write_text(json.dumps(_settings()))
    standin = str(bin_dir / "spanshunt-standin")
    commands = {
        "log": [standin, "log", "--listen", f"{HOST}:7916"],
        "boxes": [
            standin, "boxes", "--file", str(boxes), "--listen", f"{HOST}:7917"
        ],
        "engine": [
            standin, "engine", "--version-held", "chico@1", "--slots", "2000",
            "--token-ms", "0", "--packet", str(packet),
            "--listen", f"{HOST}:{ENGINE}",
        ],
        "relay": [sys.executable, "-m", "bench.relay", "relay"],
        "daemon": [str(bin_dir / "spanshuntd"), "--settings", str(settings)],
    }  # fmt: skip
    env = {**os.environ, **SECRETS}
    quiet = subprocess.DEVNULL
    return {
        name: subprocess.Popen(command, env=env, stdout=quiet, stderr=quiet)
        for name, command in commands.items()
    }


def _settings() -> dict[str, t.Any]:
    return {
        "box": "box",
        "domain": "d",
        "region": "r",
        "listen": {
            "callers": f"{HOST}:{CALLERS}",
            "operators": f"{HOST}:7914",
            "peers": f"{HOST}:7915",
        },
        "platform": {"log": f"http://{HOST}:7916", "boxes": f"http://{HOST}:7917"},
        "journal": {"copies": 0},
        "operators": [
            {"name": "o", "role": "confirm", "secret": {"env": "BENCH_OPERATOR"}}
        ],
        "session_keys": [{"env": "BENCH_SESSION"}],
    }


async def _configure() -> None:
    limits = {"rate": 100000, "burst": 100000, "concurrency": 10000}
    intents = [
        {"do": "declare_service", "service": "s", "kind": "model"},
        {
            "do": "declare_version",
            "version": "chico@1",
            "service": "s",
            "active": True,
        },
        {
            "do": "declare_org",
            "org": "o",
            "allowed": ["chico"],
            "credentials": [CREDENTIAL],
            "limits": limits,
        },
    ]
    url = f"http://{HOST}:7914/admin/v1"
    headers = {"Authorization": f"Bearer {SECRETS['BENCH_OPERATOR']}"}
    async with aiohttp.ClientSession(headers=headers) as http:
        async with asyncio.timeout(30):
            while True:
                try:
                    async with http.get(url + "/status") as res:
                        if (await res.json())["ready"]:
                            break
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.2)
        async with http.post(url + "/plans", json={"intents": intents}) as res:
            plan = await res.json()
        async with http.post(url + "/confirm", json=plan) as res:
            assert res.status == 200, await res.text()
    await asyncio.sleep(2)


async def _print(processes: dict[str, subprocess.Popen[bytes]], packet: int) -> None:
    ways = {"relay": RELAY, "daemon": CALLERS}
    print(f"{packet} tokens a packet, {STREAMS} streams at once, {TOKENS} tokens each")
    long: dict[str, list[Figures]] = {name: [] for name in ways}
    short: dict[str, list[Figures]] = {name: [] for name in ways}
    for _ in range(ROUNDS):
        for name, port in ways.items():
            url = f"http://{HOST}:{port}/v1/chat/completions"
            pid = processes[name].pid
            long[name].append(await measure(url, pid, STREAMS, TOKENS, 2))
            short[name].append(await measure(url, pid, STREAMS, 1, 8))
    requests, tokens = STREAMS * 8, STREAMS * 2 * TOKENS
    for name in ways:
        request_us = statistics.median(row.cpu_s for row in short[name]) / requests
        token_us = statistics.median(row.cpu_s for row in long[name]) / tokens
        ttft = statistics.median(row.ttft_p50 for row in short[name])
        ttft_99 = statistics.median(row.ttft_p99 for row in short[name])
        print(
            f"  {name:<8}{request_us * 1e6:>8.0f} us a request"
            f"{token_us * 1e6:>8.2f} us a token"
            f"{1 / token_us:>10.0f} tokens/s a core"
            f"   first byte p50 {ttft:.1f} ms, p99 {ttft_99:.1f} ms"
        )
    ratios = [
        statistics.median(row.cpu_s for row in kind["daemon"])
        / statistics.median(row.cpu_s for row in kind["relay"])
        for kind in (short, long)
    ]
    print(f"  daemon against relay: {ratios[0]:.2f} a request, {ratios[1]:.2f} a token")


if __name__ == "__main__":
    uvloop.run(main())
