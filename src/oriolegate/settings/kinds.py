"""The kinds of values that a setting takes, and how each is read."""

import enum
import ipaddress
import re
from typing import Any
import urllib.parse

import attrs
import expression

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
KEY_MIN_LENGTH = 16


@attrs.frozen
class Name:
    """A name of a VM, data centre or site."""


@attrs.frozen
class Text:
    """Any text that is not empty."""


@attrs.frozen
class WholeNumber:
    """A whole number within bounds, both included."""

    minimum: int
    maximum: int


@attrs.frozen
class Choice:
    """One value of an enumeration, by its text."""

    values: type[enum.Enum]


@attrs.frozen
class IpNumber:
    """An IPv4 or IPv6 address; host names are refused."""


@attrs.frozen
class UrlList:
    """One or more http URLs, with commas between them."""


@attrs.frozen
class PeerAddress:
    """A VM that may be running, as a setting names it."""

    vm: str
    data_centre: str
    host: str
    port: int


@attrs.frozen
class PeerList:
    """VMs as NAME/DATA-CENTRE/IP:PORT, with commas between them."""


@attrs.frozen
class FilePath:
    """A path of a file."""


@attrs.frozen
class Key:
    """A shared key; its text is never printed."""


Kind = (
    Name
    | Text
    | WholeNumber
    | Choice
    | IpNumber
    | UrlList
    | PeerList
    | FilePath
    | Key
)


def allowed(kind: Kind) -> str:
    """Describe what a kind takes, for help pages and faults."""
    match kind:
        case Name():
            return "1 to 63 lower-case letters, digits, dots and hyphens"
        case Text():
            return "any text"
        case WholeNumber(minimum, maximum):
            return f"a whole number from {minimum} to {maximum}"
        case Choice(values):
            return " or ".join(str(member.value) for member in values)
        case IpNumber():
            return "an IP number, such as 10.0.0.7"
        case UrlList():
            return "http URLs with commas between them"
        case PeerList():
            return "NAME/DATA-CENTRE/IP:PORT with commas between them"
        case FilePath():
            return "the path of a file"
        case Key():
            return f"at least {KEY_MIN_LENGTH} characters"


def _is_url(text: str) -> bool:
    try:
        parts = urllib.parse.urlsplit(text)
        port = parts.port
    except ValueError:
        return False
    return (
        parts.scheme in ("http", "https")
        and bool(parts.hostname)
        and port != 0
        and not parts.query
        and not parts.fragment
    )


def _parse_whole_number(text: str, minimum: int, maximum: int) -> int:
    if not re.fullmatch(r"[0-9]{1,18}", text):
        raise ValueError(text)
    number = int(text)
    if not minimum <= number <= maximum:
        raise ValueError(text)
    return number


def _parse_urls(text: str) -> tuple[str, ...]:
    urls = tuple(part.strip().rstrip("/") for part in text.split(","))
    if not all(_is_url(url) for url in urls):
        raise ValueError(text)
    return urls


def _parse_peer(text: str) -> PeerAddress:
    vm, data_centre, address = text.strip().split("/")
    host, _, port = address.rpartition(":")
    return PeerAddress(
        vm=_require(bool(NAME_PATTERN.fullmatch(vm)), vm),
        data_centre=_require(
            bool(NAME_PATTERN.fullmatch(data_centre)), data_centre
        ),
        host=str(ipaddress.ip_address(host)),
        port=_parse_whole_number(port, 1, 65_535),
    )


def _require(condition: bool, text: str) -> str:
    if not condition:
        raise ValueError(text)
    return text


def _parse(kind: Kind, text: str) -> Any:
    match kind:
        case Name():
            return _require(bool(NAME_PATTERN.fullmatch(text)), text)
        case Text() | FilePath():
            return _require(bool(text.strip()), text)
        case WholeNumber(minimum, maximum):
            return _parse_whole_number(text, minimum, maximum)
        case Choice(values):
            return values(text)
        case IpNumber():
            return str(ipaddress.ip_address(text))
        case UrlList():
            return _parse_urls(text)
        case PeerList():
            return tuple(_parse_peer(part) for part in text.split(","))
        case Key():
            return _require(len(text) >= KEY_MIN_LENGTH, text)


def read_value(kind: Kind, text: str) -> expression.Result[Any, str]:
    """Read one value.

    Args:
        kind: What is expected.
        text: As written in the flag or the variable.

    Returns:
        The value, or what was wrong; a key's text is left out of it.
    """
    try:
        return expression.Ok(_parse(kind, text))
    except ValueError:
        shown = "a short key" if isinstance(kind, Key) else repr(text)
        return expression.Error(f"got {shown}")
