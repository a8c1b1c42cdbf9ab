"""Messages of peers without those of their items that can't be."""

import functools
import typing as t

import msgspec
from msgspec import structs

from ..logs import log_event

DETAIL_CHARS = 120
"""Characters of an error that a log line shows at most."""


@functools.cache
def _item_types(message_type: type[msgspec.Struct]) -> tuple[t.Any, ...]:
    """Return for each field of a message the type of its items; None for no tuple."""
    return tuple(_item_type(field.type) for field in structs.fields(message_type))


def _item_type(field_type: t.Any) -> t.Any:
    args = t.get_args(field_type)
    is_list = t.get_origin(field_type) is tuple and args[1:] == (Ellipsis,)
    return args[0] if is_list else None


def decode_sound_items(
    data: bytes, message_type: t.Any, exc: msgspec.ValidationError
) -> t.Any:
    """Return a message without the items for which its decoding failed with `exc`.

    Raises
    ------
    msgspec.ValidationError
        If the rest is no such message either.
    """
    values = msgspec.msgpack.decode(data)
    is_struct = isinstance(message_type, type) and issubclass(
        message_type, msgspec.Struct
    )
    if not is_struct or not isinstance(values, list):
        raise exc
    for index, item_type in enumerate(_item_types(message_type)[: len(values)]):
        if item_type is not None and isinstance(values[index], list):
            values[index] = _sound(
                values[index],
                functools.partial(msgspec.convert, type=item_type),
                message_type.__struct_fields__[index],
                "items of peers not taken",
            )
    return msgspec.convert(values, message_type)


def drop_unsound_items(message: msgspec.Struct) -> msgspec.Struct:
    """Return a message without the items that can't be encoded."""
    kept: dict[str, t.Any] = {}
    names = message.__struct_fields__
    for name, item_type in zip(names, _item_types(type(message)), strict=True):
        if item_type is not None:
            items = getattr(message, name)
            kept[name] = tuple(
                _sound(items, msgspec.msgpack.encode, name, "items of peers not told")
            )
    return structs.replace(message, **kept)


def _sound(
    items: t.Iterable[t.Any],
    check: t.Callable[[t.Any], t.Any],
    name: str,
    event: str,
) -> list[t.Any]:
    """Return the items that pass a check; log how many of a field did not, and why."""
    sound, dropped, detail = [], 0, ""
    for item in items:
        try:
            check(item)
        except (msgspec.ValidationError, OverflowError) as exc:
            dropped += 1
            detail = detail or str(exc)[:DETAIL_CHARS]
        else:
            sound.append(item)
    if dropped:
        log_event(
            "WARNING",
            event,
            field=name,
            dropped=dropped,
            detail=detail,
        )
    return sound
