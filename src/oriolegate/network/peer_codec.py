"""Encode peer messages as CBOR arrays, and decode and validate them.

A message is `[number, logical_time, field, ...]`. Field types come from the
annotations of the message classes; values of another type are rejected.
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

MAX_MESSAGE_BYTES = 2 * 1024 * 1024  # fits a store object and its envelope
MAX_DEPTH = 16
MAX_TAG = 2_000  # above all CBOR tags that cbor2 decodes itself
MAX_INTEGER = 2**64

MessageTable = tuple[tuple[int, type], ...]
Converter = Callable[[Any], Any]


@attrs.frozen
class MessageFormat:
    """How messages of one class are encoded and decoded.

    Attributes:
        number: Number that identifies the class on the wire.
        message_type: The class.
        writers: Converters for encoding, one per field.
        readers: Converters for decoding, one per field.
        names: Field names, in the order of the wire.
    """

    number: int
    message_type: type
    writers: tuple[Converter, ...]
    readers: tuple[Converter, ...]
    names: tuple[str, ...]


def _unchanged(value: Any) -> Any:
    return value


def _reject(value: Any) -> typing.NoReturn:
    raise PeerMessageError(
        f"peer message contains an unexpected {type(value).__name__}; "
        "check that all VMs run compatible versions"
    )


def _reject_tag(decoder: Any, *_: Any) -> typing.NoReturn:
    _reject(decoder)


# Messages contain no CBOR tags, and decoding some tags (regular expressions,
# big fractions) is expensive even for short input.
_REJECTED_TAGS: Mapping[int, Any] = dict.fromkeys(range(MAX_TAG), _reject_tag)


def _plain_reader(expected: Any) -> Converter:
    def read(value: Any) -> Any:
        if expected is float and type(value) is int:
            value = float(value)
        if type(value) is not expected:
            _reject(value)
        if expected is float and not math.isfinite(value):
            _reject(value)
        if expected is int and not -MAX_INTEGER <= value < MAX_INTEGER:
            _reject(value)
        return value

    return read


def _sequence_of(convert_entry: Converter) -> Converter:
    def read(value: Any) -> tuple[Any, ...]:
        if not isinstance(value, list | tuple):
            _reject(value)
        return tuple(convert_entry(entry) for entry in value)

    return read


def _tuple_of(converters: tuple[Converter, ...]) -> Converter:
    def read(value: Any) -> tuple[Any, ...]:
        if not isinstance(value, list | tuple) or len(value) != len(converters):
            _reject(value)
        return tuple(
            convert_entry(entry)
            for convert_entry, entry in zip(converters, value, strict=True)
        )

    return read


def _mapping_of(convert_key: Converter, convert_value: Converter) -> Converter:
    def read(value: Any) -> dict[Any, Any]:
        if not isinstance(value, Mapping):
            _reject(value)
        return {
            convert_key(name): convert_value(entry)
            for name, entry in value.items()
        }

    return read


def _optional(convert_value: Converter) -> Converter:
    def convert(value: Any) -> Any:
        return None if value is None else convert_value(value)

    return convert


def _enum_reader(enum_type: type[enum.Enum]) -> Converter:
    def read(value: Any) -> enum.Enum:
        try:
            return enum_type(value)
        except ValueError:
            _reject(value)

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
        value_types = [a for a in arguments if a is not types.NoneType]
        if len(value_types) != 1 or len(arguments) != 2:
            raise TypeError(f"only optional unions are allowed: {annotation}")
        return _optional(_converter(value_types[0], reading))
    parts = tuple(
        _converter(part, reading) for part in arguments if part is not ...
    )
    if origin is tuple:
        return _sequence_of(parts[0]) if ... in arguments else _tuple_of(parts)
    if origin is list:
        return _sequence_of(parts[0])
    if isinstance(origin, type) and issubclass(origin, Mapping):
        return _mapping_of(*parts)
    raise TypeError(f"peer messages can't contain {annotation}")


def _converter(annotation: Any, reading: bool) -> Converter:
    if annotation is Any:
        return _unchanged
    if typing.get_origin(annotation) is not None:
        return _container(annotation, reading)
    if attrs.has(annotation):
        make_converter = _class_reader if reading else _class_writer
        return make_converter(annotation)
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        if reading:
            return _enum_reader(annotation)
        return lambda value: value.value
    if annotation in (int, float, str, bytes, bool):
        return _plain_reader(annotation) if reading else _unchanged
    raise TypeError(f"peer messages can't contain {annotation}")


def _converters(message_type: type, reading: bool) -> dict[str, Converter]:
    annotations = typing.get_type_hints(message_type)
    return {
        field.name: _converter(annotations[field.name], reading)
        for field in attrs.fields(message_type)
    }


def _message_format(number: int, message_type: type) -> MessageFormat:
    readers = _converters(message_type, reading=True)
    writers = _converters(message_type, reading=False)
    return MessageFormat(
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
            semantic_decoders=_REJECTED_TAGS,
        )
    except PeerMessageError:
        raise
    # For malicious input, the decoder raises exceptions without a common base.
    except Exception as error:
        raise PeerMessageError(
            "peer message is not valid CBOR; check the peer's version"
        ) from error
    if not isinstance(decoded, list) or len(decoded) < 2:
        _reject(decoded)
    return decoded


class PeerCodec:
    """Encodes and decodes the messages of the given message tables.

    Attributes:
        by_number: Formats by message number.
        by_type: Formats by message class.
    """

    def __init__(self, *tables: MessageTable) -> None:
        """Combine message tables.

        Args:
            *tables: `PEER_MESSAGES` of each package with peer messages.

        Raises:
            TypeError: If a number or class occurs twice, or the type of a
                field is not supported.
        """
        self.by_number: dict[int, MessageFormat] = {}
        self.by_type: dict[type, MessageFormat] = {}
        for table in tables:
            for number, message_type in table:
                if number in self.by_number or message_type in self.by_type:
                    raise TypeError(f"peer message {number} is defined twice")
                message_format = _message_format(number, message_type)
                self.by_number[number] = message_format
                self.by_type[message_type] = message_format

    def encode(self, message: object, logical_time: int) -> bytes:
        """Encode one message.

        Raises:
            PeerMessageError: If the message exceeds `MAX_MESSAGE_BYTES`.
        """
        message_format = self.by_type[type(message)]
        fields: list[Any] = [message_format.number, logical_time]
        for name, write in zip(
            message_format.names, message_format.writers, strict=True
        ):
            fields.append(write(getattr(message, name)))
        data = cbor2.dumps(fields)
        if len(data) > MAX_MESSAGE_BYTES:
            raise PeerMessageError("peer message is too large to send")
        return data

    def decode(self, data: bytes) -> tuple[int, object]:
        """Decode one message.

        Returns:
            The logical time of the sender and the message.

        Raises:
            PeerMessageError: If the bytes are not a valid known message.
        """
        decoded = _load(data)
        number, logical_time, *values = decoded
        if type(number) is not int or type(logical_time) is not int:
            _reject(number)
        message_format = self.by_number.get(number)
        if message_format is None:
            raise PeerMessageError(
                f"peer message {number} is unknown; upgrade the older VM"
            )
        if not 0 <= logical_time < MAX_INTEGER:
            _reject(logical_time)
        if len(values) != len(message_format.readers):
            _reject(values)
        fields = [
            read(value)
            for read, value in zip(message_format.readers, values, strict=True)
        ]
        return logical_time, message_format.message_type(*fields)
