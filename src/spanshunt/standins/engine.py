"""A stand-in of a model engine with an OpenAI-compatible API.

A prompt that holds ``nonce=N tokens=K`` is answered by the K words ``N.0 N.1 …`` and
``N.end``, so that a caller can check that an answer is whole and its own. Time to the
first token is ``prefill_ms`` a thousand prompt tokens plus a queue; the time between
tokens grows with the batch.
"""

import asyncio
import random
import re

import msgspec
from aiohttp import web

from ..ids import VersionId

_ASKED = re.compile(r"nonce=(?P<nonce>\S+) tokens=(?P<tokens>\d+)")
_CHARS_PER_TOKEN = 4
_DONE = b"data: [DONE]\n\n"


class EngineFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What fails, each as a share of requests but for ``down`` and ``slow_factor``.

    Attributes
    ----------
    down : bool
        Every request answers 503 before it runs.
    refuse : float
        Answers 500 before the first token.
    truncate : float
        The stream ends halfway with no end mark.
    wrong_id : float
        A chunk of another answer is mixed in.
    slow_factor : float
        Every time is multiplied by this.
    confidence : dict
        How sure the engine says it is, by version; not said for others.
    """

    down: bool = False
    refuse: float = 0.0
    truncate: float = 0.0
    wrong_id: float = 0.0
    slow_factor: float = 1.0
    confidence: dict[str, float] = {}


class EngineModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The engine's speed.

    Attributes
    ----------
    slots : int
        Answers in one batch.
    prefill_ms : float
        Time to read 1,000 prompt tokens, in ms.
    token_ms : float
        Time between tokens at batch size 1, in ms.
    batch_ms : float
        What each further answer in the batch adds to it, in ms.
    tokens_per_packet : int
        Tokens written at once.
    """

    slots: int = 16
    prefill_ms: float = 20.0
    token_ms: float = 2.0
    batch_ms: float = 0.1
    tokens_per_packet: int = 1


class EngineLoad(msgspec.Struct, frozen=True):
    """A load report.

    Attributes
    ----------
    running, waiting : int
        Answers in the batch and in the queue.
    slots : int
        Answers that fit in one batch.
    versions : tuple of str
        Versions held.
    leaving : bool
        Whether new work is unwelcome.
    """

    running: int
    waiting: int
    slots: int
    versions: tuple[VersionId, ...] = ()
    leaving: bool = False


class ChatMessage(msgspec.Struct, frozen=True):
    """A message of a chat."""

    role: str
    content: str


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed answer."""

    include_usage: bool = False


class ChatBody(msgspec.Struct, frozen=True):
    """The part of a chat request that the stand-in reads."""

    model: str
    messages: tuple[ChatMessage, ...]
    stream: bool = False
    stream_options: StreamOptions = StreamOptions()


class EngineStandin:
    """The stand-in's state and handlers."""

    def __init__(
        self,
        versions: tuple[VersionId, ...],
        model: EngineModel | None = None,
        seed: int = 0,
    ) -> None:
        self.versions = versions
        self.model = model or EngineModel()
        self.faults = EngineFaults()
        self.leaving = False
        self.ran: dict[str, int] = {}
        self.cancelled = 0
        self._random = random.Random(seed)
        self._slots = asyncio.Semaphore(self.model.slots)
        self._running = 0
        self._waiting = 0

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_get("/load", self._load)
        app.router.add_get("/ran", self._list_ran)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_post("/leave", self._leave)
        return app

    async def _chat(self, req: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await req.read(), type=ChatBody)
        if self.faults.down:
            return web.Response(status=503)
        if body.model not in self.versions:
            return web.Response(status=404, text=f"{body.model} is not held")
        if self._random.random() < self.faults.refuse:
            return web.Response(status=500)
        request = req.headers.get("X-Request-Id", "none")
        prompt = "".join(message.content for message in body.messages)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        self.ran[request] = self.ran.get(request, 0) + 1
        try:
            return await self._answer(req, body, f"chatcmpl-{request}", prompt)
        except (ConnectionResetError, asyncio.CancelledError):
            self.cancelled += 1
            raise
        finally:
            self._running -= 1
            self._slots.release()

    async def _answer(
        self, req: web.Request, body: ChatBody, answer: str, prompt: str
    ) -> web.StreamResponse:
        words = _words(prompt)
        prompt_tokens = max(1, len(prompt) // _CHARS_PER_TOKEN)
        sure = self.faults.confidence.get(body.model)
        said = f'"confidence":{sure},' if sure is not None else ""
        usage = (
            f'"usage":{{{said}"prompt_tokens":{prompt_tokens},'
            f'"completion_tokens":{len(words)},'
            f'"total_tokens":{prompt_tokens + len(words)}}}'
        )
        await self._sleep(self.model.prefill_ms * prompt_tokens / 1000)
        if not body.stream:
            await self._sleep(self._token_ms() * len(words))
            return _whole(answer, body.model, words, usage)
        return await self._stream(req, body, answer, words, usage)

    async def _stream(
        self,
        req: web.Request,
        body: ChatBody,
        answer: str,
        words: list[str],
        usage: str,
    ) -> web.StreamResponse:
        res = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await res.prepare(req)
        cut = self._random.random() < self.faults.truncate
        mixed = self._random.random() < self.faults.wrong_id
        step = self.model.tokens_per_packet
        for start in range(0, len(words), step):
            if start:
                await self._sleep(self._token_ms() * step)
            if start >= len(words) // 2 and cut:
                if req.transport is not None:
                    req.transport.abort()
                return res
            if start >= len(words) // 2 and mixed:
                await res.write(_chunk("chatcmpl-other", body.model, "stray "))
                mixed = False
            packet = words[start : start + step]
            await res.write(b"".join(_chunk(answer, body.model, w) for w in packet))
        tail = f'data: {{"id":"{answer}","choices":[],{usage}}}\n\n'.encode()
        await res.write(tail + _DONE if body.stream_options.include_usage else _DONE)
        await res.write_eof()
        return res

    def _token_ms(self) -> float:
        return self.model.token_ms + self.model.batch_ms * max(0, self._running - 1)

    async def _sleep(self, duration_ms: float) -> None:
        await asyncio.sleep(duration_ms * self.faults.slow_factor / 1000)

    async def _load(self, _req: web.Request) -> web.StreamResponse:
        load = EngineLoad(
            running=self._running,
            waiting=self._waiting,
            slots=self.model.slots,
            versions=self.versions,
            leaving=self.leaving,
        )
        return web.Response(body=msgspec.json.encode(load))

    async def _list_ran(self, _req: web.Request) -> web.StreamResponse:
        return web.Response(body=msgspec.json.encode(self.ran))

    async def _set_faults(self, req: web.Request) -> web.StreamResponse:
        self.faults = msgspec.json.decode(await req.read(), type=EngineFaults)
        return web.Response(status=204)

    async def _leave(self, _req: web.Request) -> web.StreamResponse:
        self.leaving = True
        return web.Response(status=204)


def _words(prompt: str) -> list[str]:
    match = _ASKED.search(prompt)
    if match is None:
        return ["ok"]
    nonce = match["nonce"]
    words = [f"{nonce}.{index} " for index in range(int(match["tokens"]))]
    return [*words, f"{nonce}.end"]


def _chunk(answer: str, model: str, word: str) -> bytes:
    return (
        f'data: {{"id":"{answer}","object":"chat.completion.chunk","model":"{model}",'
        f'"choices":[{{"index":0,"delta":{{"content":"{word}"}}}}]}}\n\n'
    ).encode()


def _whole(answer: str, model: str, words: list[str], usage: str) -> web.Response:
    text = "".join(words)
    body = (
        f'{{"id":"{answer}","object":"chat.completion","model":"{model}",'
        f'"choices":[{{"index":0,"message":{{"role":"assistant","content":"{text}"}},'
        f'"finish_reason":"stop"}}],{usage}}}'
    )
    return web.Response(body=body.encode(), content_type="application/json")
