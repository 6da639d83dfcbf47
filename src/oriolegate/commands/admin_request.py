"""Options and calls that the commands share to reach a VM's admin endpoint."""

import argparse
import http.client
import json
import os
import pathlib
from typing import Any
import urllib.error
import urllib.request

import attrs
from expression import Error
from expression import Ok
from expression import Result

from oriolegate.exceptions import SettingsError

_PREFIX = "ORIOLEGATE_"
_TRUE_WORDS = frozenset({"1", "true", "yes", "on"})
_FALSE_WORDS = frozenset({"", "0", "false", "no", "off"})
# Longer than the endpoint takes to report an outcome as unknown.
_TIMEOUT_S = 20.0


def variable_of(flag: str) -> str:
    """Return the environment variable of a flag such as `--dry-run`."""
    return _PREFIX + flag.removeprefix("--").replace("-", "_").upper()


def add_option(
    parser: argparse.ArgumentParser, flag: str, text: str, **fields: Any
) -> None:
    """Add an option whose default is its environment variable.

    Args:
        parser: Of the command.
        flag: Such as `--admin`.
        text: For the help page.
        **fields: Further arguments of `add_argument`.
    """
    variable = variable_of(flag)
    if variable in os.environ:
        fields["default"] = os.environ[variable]
    parser.add_argument(flag, help=f"{text} [{variable}]", **fields)


def add_switch(parser: argparse.ArgumentParser, flag: str, text: str) -> None:
    """Add an option without a value, whose variable is 1 or 0."""
    variable = variable_of(flag)
    value = os.environ.get(variable, "").lower()
    if value not in _TRUE_WORDS | _FALSE_WORDS:
        parser.error(f"{variable} is {value!r}; set it to 1 or 0")
    parser.add_argument(
        flag,
        action="store_true",
        default=value in _TRUE_WORDS,
        help=f"{text} [{variable}]",
    )


def add_admin_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that name a VM's admin endpoint."""
    add_option(parser, "--admin", "admin endpoint of any VM, http://IP:PORT")
    add_option(parser, "--admin-key-file", "file that holds the admin key")


@attrs.frozen
class AdminEndpoint:
    """Where the admin endpoint is, and the key that opens it."""

    url: str
    key: str


def admin_endpoint(arguments: argparse.Namespace) -> AdminEndpoint:
    """Return the endpoint that the options name.

    Raises:
        SettingsError: If there is none, or the key can't be read.
    """
    url = (arguments.admin or "").rstrip("/")
    if not url.startswith(("http://", "https://")):
        raise SettingsError(
            "name the admin endpoint of a VM with --admin http://IP:PORT "
            "or ORIOLEGATE_ADMIN"
        )
    if not arguments.admin_key_file:
        return AdminEndpoint(url, "")
    try:
        key = pathlib.Path(arguments.admin_key_file).read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"the admin key can't be read: {error}") from error
    return AdminEndpoint(url, key)


@attrs.frozen
class CallFailure:
    """A call that got no usable answer.

    Attributes:
        message: Why.
        sent: Whether the request may have reached the endpoint.
    """

    message: str
    sent: bool = True


def read_text_file(name: str) -> str:
    """Read a rules file.

    Raises:
        SettingsError: If it can't be read.
    """
    try:
        return pathlib.Path(name).read_bytes().decode()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{name} can't be read: {error}") from error


def call_admin(
    endpoint: AdminEndpoint, path: str, payload: Any = None
) -> Result[dict[str, Any], CallFailure]:
    """Call the admin endpoint; a payload makes it a POST.

    Args:
        endpoint: Where to.
        path: Such as `/rules`.
        payload: What is sent as JSON, or None for a GET.

    Returns:
        The JSON object of the answer, or why there is none.
    """
    headers = {"Content-Type": "application/json"}
    if endpoint.key:
        headers["Authorization"] = f"Bearer {endpoint.key}"
    body = None if payload is None else json.dumps(payload).encode()
    request = urllib.request.Request(endpoint.url + path, body, headers)
    # VMs are named by IP number; a proxy of the operator's site is no help.
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=_TIMEOUT_S) as answer:
            return _read_answer(answer.status, answer.read())
    except urllib.error.HTTPError as error:
        with error:
            return _read_answer(error.code, error.read())
    except (OSError, http.client.HTTPException, ValueError) as error:
        reason = getattr(error, "reason", error)
        return Error(
            CallFailure(
                f"{endpoint.url} gave no answer: {reason}",
                sent=not isinstance(reason, ConnectionRefusedError),
            )
        )


def _read_answer(
    status: int, body: bytes
) -> Result[dict[str, Any], CallFailure]:
    if status in (http.HTTPStatus.UNAUTHORIZED, http.HTTPStatus.FORBIDDEN):
        message = "the admin key was refused; see --admin-key-file"
        return Error(CallFailure(message, sent=False))
    try:
        fields = json.loads(body)
    except ValueError:
        fields = None
    if not isinstance(fields, dict):
        message = f"the answer is no JSON object (HTTP {status})"
        return Error(CallFailure(message))
    return Ok(fields)
