"""A msgpack codec for grpclib, so that the messages are plain typed structs."""

import typing as t

import msgspec
from grpclib.encoding.base import CodecBase


class MsgpackCodec(CodecBase):
    """Encodes messages with msgspec; there is no generated code."""

    __content_subtype__ = "msgpack"

    def encode(self, message: t.Any, message_type: t.Any) -> bytes:
        """Encode a message, checking its type."""
        if not isinstance(message, message_type):
            msg = f"message must be {message_type!r}, not {type(message)!r}"
            raise TypeError(msg)
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: t.Any) -> t.Any:
        """Decode a message into its type."""
        return msgspec.msgpack.decode(data, type=message_type)
