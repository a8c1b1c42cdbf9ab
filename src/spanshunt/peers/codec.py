"""Msgpack codec for grpclib."""

import typing as t

import msgspec
from grpclib.encoding.base import CodecBase

from .sound_items import decode_sound_items
from .sound_items import drop_unsound_items


class MsgpackCodec(CodecBase):
    """Codec for messages that are msgspec structs, so that no code is generated.

    An item of a message that can't be told, or that nobody can have told, costs that
    item: the others of its message are told and taken.
    """

    __content_subtype__ = "msgpack"

    def encode(self, message: t.Any, message_type: t.Any) -> bytes:
        """Return an encoded message; raise `TypeError` if it has another type."""
        if not isinstance(message, message_type):
            msg = f"message must be {message_type!r}, not {type(message)!r}"
            raise TypeError(msg)
        try:
            return msgspec.msgpack.encode(message)
        except OverflowError:
            return msgspec.msgpack.encode(drop_unsound_items(message))

    def decode(self, data: bytes, message_type: t.Any) -> t.Any:
        """Return a decoded message of the given type.

        Raises
        ------
        msgspec.DecodeError
            If the bytes are no such message.
        """
        try:
            return _decode(data, message_type)
        except RecursionError as exc:
            raise msgspec.DecodeError(f"nested too deep: {exc}") from exc


def _decode(data: bytes, message_type: t.Any) -> t.Any:
    try:
        return msgspec.msgpack.decode(data, type=message_type)
    except msgspec.ValidationError as exc:
        return decode_sound_items(data, message_type, exc)
