"""Options and HTTP calls of the rules commands for a VM's admin endpoint."""

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
# Longer than the endpoint needs to report an edit's outcome as unknown.
_TIMEOUT_S = 20.0


def environment_variable(flag: str) -> str:
    """Return the environment variable of a flag such as `--dry-run`."""
    return _PREFIX + flag.removeprefix("--").replace("-", "_").upper()


def add_option(
    parser: argparse.ArgumentParser, flag: str, text: str, **fields: Any
) -> None:
    """Add an option whose default is its environment variable.

    Args:
        parser: Parser of the command.
        flag: Long flag such as `--admin`.
        text: Description for the help page.
        **fields: Further arguments of `add_argument`.
    """
    variable = environment_variable(flag)
    if variable in os.environ:
        fields["default"] = os.environ[variable]
    parser.add_argument(flag, help=f"{text} [{variable}]", **fields)


def add_switch(parser: argparse.ArgumentParser, flag: str, text: str) -> None:
    """Add an option without a value; the variable for it is 1 or 0."""
    variable = environment_variable(flag)
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
    """Add the options for the URL and key of a VM's admin endpoint."""
    add_option(parser, "--admin", "admin endpoint of any VM, http://IP:PORT")
    add_option(parser, "--admin-key-file", "file with the admin key")


@attrs.frozen
class AdminEndpoint:
    """Base URL of a VM's admin endpoint; the admin key, empty for none."""

    url: str
    key: str


def admin_endpoint(arguments: argparse.Namespace) -> AdminEndpoint:
    """Return the endpoint given by the options.

    Raises:
        SettingsError: If the URL is missing or the key can't be read.
    """
    url = (arguments.admin or "").rstrip("/")
    if not url.startswith(("http://", "https://")):
        raise SettingsError(
            "set the admin endpoint of a VM with --admin http://IP:PORT "
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
    """A call without a usable answer.

    Attributes:
        message: Reason, for the user.
        sent: Whether the endpoint may have processed the request.
    """

    message: str
    sent: bool = True


def read_text_file(name: str) -> str:
    """Return the text of a rules file.

    Raises:
        SettingsError: If the file can't be read.
    """
    try:
        return pathlib.Path(name).read_bytes().decode()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{name} can't be read: {error}") from error


def call_admin(
    endpoint: AdminEndpoint, path: str, payload: Any = None
) -> Result[dict[str, Any], CallFailure]:
    """Call the admin endpoint by GET or, with a payload, by POST.

    Args:
        endpoint: Endpoint to call.
        path: Path such as `/rules`.
        payload: Body to send as JSON, or None for a GET.

    Returns:
        The answer's JSON object, which an error status may have too, or the
        failure.
    """
    headers = {"Content-Type": "application/json"}
    if endpoint.key:
        headers["Authorization"] = f"Bearer {endpoint.key}"
    body = None if payload is None else json.dumps(payload).encode()
    request = urllib.request.Request(endpoint.url + path, body, headers)
    # VMs are addressed directly by IP address, so proxies are bypassed.
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
        message = f"the answer is not a JSON object (HTTP {status})"
        return Error(CallFailure(message))
    return Ok(fields)
