"""Encode peer messages as CBOR arrays and check what arrives.

A message is `[number, logical_time, field, ...]`. Field types come from the
message classes' annotations; whatever does not fit them is refused.
"""

from collections.abc import Callable
from collections.abc import Mapping
import enum
import math
import types
import typing
from typing import Any

import attrs
import cbor2

from oriolegate.exceptions import PeerMessageError

MAX_MESSAGE_BYTES = 2 * 1024 * 1024  # one store object and its envelope
MAX_DEPTH = 16
MAX_TAG = 2_000  # all tags that the library decodes by itself lie below
MAX_INTEGER = 2**64

MessageTable = tuple[tuple[int, type], ...]
Converter = Callable[[Any], Any]


@attrs.frozen
class MessageShape:
    """How one message class is written and read."""

    number: int
    message_type: type
    writers: tuple[Converter, ...]
    readers: tuple[Converter, ...]
    names: tuple[str, ...]


def _same(value: Any) -> Any:
    return value


def _refuse(value: Any) -> typing.NoReturn:
    raise PeerMessageError(
        f"peer message holds an unexpected {type(value).__name__}; "
        "check that all VMs run compatible versions"
    )


def _refuse_tag(decoder: Any, *_: Any) -> typing.NoReturn:
    _refuse(decoder)


# Tags are of no use here, and decoding some (regular expressions, big
# fractions) costs far more than their bytes suggest.
_NO_TAGS: Mapping[int, Any] = dict.fromkeys(range(MAX_TAG), _refuse_tag)


def _plain_reader(expected: Any) -> Converter:
    def read(value: Any) -> Any:
        if expected is float and type(value) is int:
            value = float(value)
        if type(value) is not expected:
            _refuse(value)
        if expected is float and not math.isfinite(value):
            _refuse(value)
        if expected is int and not -MAX_INTEGER <= value < MAX_INTEGER:
            _refuse(value)
        return value

    return read


def _sequence_of(item: Converter) -> Converter:
    def read(value: Any) -> tuple[Any, ...]:
        if not isinstance(value, list | tuple):
            _refuse(value)
        return tuple(item(entry) for entry in value)

    return read


def _tuple_of(items: tuple[Converter, ...]) -> Converter:
    def read(value: Any) -> tuple[Any, ...]:
        if not isinstance(value, list | tuple) or len(value) != len(items):
            _refuse(value)
        return tuple(
            item(entry) for item, entry in zip(items, value, strict=True)
        )

    return read


def _mapping_of(key: Converter, item: Converter) -> Converter:
    def read(value: Any) -> dict[Any, Any]:
        if not isinstance(value, Mapping):
            _refuse(value)
        return {key(name): item(entry) for name, entry in value.items()}

    return read


def _optional(item: Converter) -> Converter:
    def convert(value: Any) -> Any:
        return None if value is None else item(value)

    return convert


def _enum_reader(enum_type: type[enum.Enum]) -> Converter:
    def read(value: Any) -> enum.Enum:
        try:
            return enum_type(value)
        except ValueError:
            _refuse(value)

    return read


def _class_reader(message_type: type) -> Converter:
    readers = tuple(_converters(message_type, reading=True).values())
    fields = _tuple_of(readers)
    return lambda value: message_type(*fields(value))


def _class_writer(message_type: type) -> Converter:
    writers = _converters(message_type, reading=False)
    pairs = tuple(writers.items())
    return lambda value: [write(getattr(value, name)) for name, write in pairs]


def _container(annotation: Any, reading: bool) -> Converter:
    origin = typing.get_origin(annotation)
    arguments = typing.get_args(annotation)
    if origin in (types.UnionType, typing.Union):
        kept = [part for part in arguments if part is not types.NoneType]
        if len(kept) != 1 or len(arguments) != 2:
            raise TypeError(f"only optional unions are allowed: {annotation}")
        return _optional(_converter(kept[0], reading))
    parts = tuple(
        _converter(part, reading) for part in arguments if part is not ...
    )
    if origin is tuple:
        return _sequence_of(parts[0]) if ... in arguments else _tuple_of(parts)
    if origin is list:
        return _sequence_of(parts[0])
    if isinstance(origin, type) and issubclass(origin, Mapping):
        return _mapping_of(*parts)
    raise TypeError(f"peer messages can't hold {annotation}")


def _converter(annotation: Any, reading: bool) -> Converter:
    if annotation is Any:
        return _same
    if typing.get_origin(annotation) is not None:
        return _container(annotation, reading)
    if attrs.has(annotation):
        make = _class_reader if reading else _class_writer
        return make(annotation)
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        if reading:
            return _enum_reader(annotation)
        return lambda value: value.value
    if annotation in (int, float, str, bytes, bool):
        return _plain_reader(annotation) if reading else _same
    raise TypeError(f"peer messages can't hold {annotation}")


def _converters(message_type: type, reading: bool) -> dict[str, Converter]:
    annotations = typing.get_type_hints(message_type)
    return {
        field.name: _converter(annotations[field.name], reading)
        for field in attrs.fields(message_type)
    }


def _shape(number: int, message_type: type) -> MessageShape:
    readers = _converters(message_type, reading=True)
    writers = _converters(message_type, reading=False)
    return MessageShape(
        number=number,
        message_type=message_type,
        writers=tuple(writers.values()),
        readers=tuple(readers.values()),
        names=tuple(readers),
    )


def _load(data: bytes) -> list[Any]:
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerMessageError("peer message is too large; it was dropped")
    try:
        decoded = cbor2.loads(
            data,
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
            semantic_decoders=_NO_TAGS,
        )
    except PeerMessageError:
        raise
    # The decoder raises many types for hostile input, not one base class.
    except Exception as error:
        raise PeerMessageError(
            "peer message is not valid CBOR; check the peer's version"
        ) from error
    if not isinstance(decoded, list) or len(decoded) < 2:
        _refuse(decoded)
    return decoded


class PeerCodec:
    """Writes and reads the messages of the tables that it is given."""

    def __init__(self, *tables: MessageTable) -> None:
        """Compose message tables.

        Args:
            *tables: `PEER_MESSAGES` of each part that talks to peers.

        Raises:
            TypeError: If a number or a class is in the tables twice, or a
                field's type can't be sent.
        """
        self.by_number: dict[int, MessageShape] = {}
        self.by_type: dict[type, MessageShape] = {}
        for table in tables:
            for number, message_type in table:
                if number in self.by_number or message_type in self.by_type:
                    raise TypeError(f"peer message {number} is defined twice")
                shape = _shape(number, message_type)
                self.by_number[number] = shape
                self.by_type[message_type] = shape

    def encode(self, message: object, logical_time: int) -> bytes:
        """Return the bytes of one message.

        Raises:
            PeerMessageError: If the message is larger than peers accept.
        """
        shape = self.by_type[type(message)]
        fields: list[Any] = [shape.number, logical_time]
        for name, write in zip(shape.names, shape.writers, strict=True):
            fields.append(write(getattr(message, name)))
        data = cbor2.dumps(fields)
        if len(data) > MAX_MESSAGE_BYTES:
            raise PeerMessageError("peer message is too large to send")
        return data

    def decode(self, data: bytes) -> tuple[int, object]:
        """Return the sender's logical time and the message.

        Raises:
            PeerMessageError: If the bytes are not a known message.
        """
        decoded = _load(data)
        number, logical_time, *values = decoded
        if type(number) is not int or type(logical_time) is not int:
            _refuse(number)
        shape = self.by_number.get(number)
        if shape is None:
            raise PeerMessageError(
                f"peer message {number} is unknown; upgrade the older VM"
            )
        if not 0 <= logical_time < MAX_INTEGER:
            _refuse(logical_time)
        if len(values) != len(shape.readers):
            _refuse(values)
        fields = [
            read(value)
            for read, value in zip(shape.readers, values, strict=True)
        ]
        return logical_time, shape.message_type(*fields)
