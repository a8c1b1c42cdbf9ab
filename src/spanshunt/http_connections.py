"""Connections on which only answers with a head by the grammar of HTTP are taken."""

import asyncio
import typing as t
from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import BadHttpMessage

from .http_heads import HeadChecker


class CheckedConnection(ResponseHandler):
    """A connection that ends with an answer whose head is no HTTP.

    The request then fails as one whose answer the library can't read: with
    ``aiohttp.ClientResponseError``.
    """

    _checker: HeadChecker | None = None

    def set_response_params(self, **params: t.Any) -> None:
        """Get ready for the answer to the next request."""
        self._checker = HeadChecker()
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Take bytes of an answer."""
        # Without a parser the library keeps the bytes, and comes back with them.
        flaw = ""
        if self._checker is not None and self._parser is not None:
            flaw = self._checker.feed(data)
        if not flaw:
            super().data_received(data)
            return
        self._checker = None
        if self.transport is not None:
            self.transport.close()
        self.set_exception(BadHttpMessage(flaw))


def check_heads(
    connector: aiohttp.TCPConnector,
    connection: type[CheckedConnection] = CheckedConnection,
) -> aiohttp.TCPConnector:
    """Let a connector open connections that check the heads of answers; return it."""
    loop = asyncio.get_running_loop()
    connector._factory = t.cast(t.Any, partial(connection, loop=loop))
    return connector
