"""Value types of settings, and how each is parsed."""

import enum
import ipaddress
import re
from typing import Any
import urllib.parse

import attrs
import expression

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
KEY_MIN_CHARACTERS = 16


@attrs.frozen
class Name:
    """Name of a VM, data centre or site."""


@attrs.frozen
class Text:
    """Any text that is not blank."""


@attrs.frozen
class WholeNumber:
    """Whole number from `minimum` to `maximum`, both included."""

    minimum: int
    maximum: int


@attrs.frozen
class Choice:
    """Value of one member of an enumeration."""

    values: type[enum.Enum]


@attrs.frozen
class IpAddress:
    """IPv4 or IPv6 address; host names are rejected."""


@attrs.frozen
class UrlList:
    """Comma-separated list of http or https URLs."""


@attrs.frozen
class PeerAddress:
    """Address of a VM that may be running, as listed in a setting."""

    vm: str
    data_centre: str
    host: str
    port: int


@attrs.frozen
class PeerList:
    """Comma-separated list of VMs as NAME/DATA-CENTRE/IP:PORT."""


@attrs.frozen
class FilePath:
    """Path of a file; not checked for existence."""


@attrs.frozen
class Key:
    """Secret key; its text is never printed."""


Kind = (
    Name
    | Text
    | WholeNumber
    | Choice
    | IpAddress
    | UrlList
    | PeerList
    | FilePath
    | Key
)


def describe_allowed(kind: Kind) -> str:
    """Describe the values of a kind, for help pages and error messages."""
    match kind:
        case Name():
            return "1 to 63 lower-case letters, digits, dots and hyphens"
        case Text():
            return "any text"
        case WholeNumber(minimum, maximum):
            return f"a whole number from {minimum} to {maximum}"
        case Choice(values):
            return " or ".join(str(member.value) for member in values)
        case IpAddress():
            return "an IP address, such as 10.0.0.7"
        case UrlList():
            return "http URLs separated by commas"
        case PeerList():
            return "NAME/DATA-CENTRE/IP:PORT separated by commas"
        case FilePath():
            return "the path of a file"
        case Key():
            return f"at least {KEY_MIN_CHARACTERS} characters"


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
        case IpAddress():
            return str(ipaddress.ip_address(text))
        case UrlList():
            return _parse_urls(text)
        case PeerList():
            return tuple(_parse_peer(part) for part in text.split(","))
        case Key():
            return _require(len(text) >= KEY_MIN_CHARACTERS, text)


def read_value(kind: Kind, text: str) -> expression.Result[Any, str]:
    """Parse one value.

    Args:
        kind: Expected kind of value.
        text: Text of the flag or the environment variable.

    Returns:
        The value, or an error message that never contains the text of a key.
    """
    try:
        return expression.Ok(_parse(kind, text))
    except ValueError:
        shown = "a short key" if isinstance(kind, Key) else repr(text)
        return expression.Error(f"got {shown}")
