"""HTTP requests to the admin port of a running process.

Used by `status` and `timeline`; the rules commands use `admin_request`.
"""

from collections.abc import Mapping
import http.client
import json
from typing import Any
import urllib.error
import urllib.request

from oriolegate.exceptions import OriolegateError
from oriolegate.result_codes import ResultCode

MAX_ANSWER_BYTES = 256 * 1024 * 1024
UNAUTHORIZED_STATUSES = (401, 403)


def _error_from_status(url: str, error: urllib.error.HTTPError) -> Exception:
    if error.code in UNAUTHORIZED_STATUSES:
        return OriolegateError(
            f"{url} refused the key; set ORIOLEGATE_ADMIN_KEY or"
            " --admin-key-file to the key of that site.",
            ResultCode.UNAUTHORIZED,
        )
    try:
        content = json.loads(error.read(MAX_ANSWER_BYTES))
        return OriolegateError(
            str(content["message"]), ResultCode(content["code"])
        )
    except (OSError, ValueError, KeyError, TypeError):
        return OriolegateError(
            f"{url} answered with status {error.code}; check that it is the"
            " admin port of an oriolegate process.",
            ResultCode.NOT_FOUND,
        )


def _build_request(
    url: str, key: str | None, body: Mapping[str, Any] | None
) -> urllib.request.Request:
    headers = {"Accept": "application/json"}
    if key is not None:
        headers["Authorization"] = f"Bearer {key}"
    data = None
    if body is not None:
        data = json.dumps(body).encode()
        headers["Content-Type"] = "application/json"
    return urllib.request.Request(url, data=data, headers=headers)


def _send_request(
    url: str, request: urllib.request.Request, timeout_s: float
) -> bytes:
    # The environment's proxies are bypassed: they are meant for external hosts,
    # and a proxy would see the admin key.
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=timeout_s) as answer:
            return bytes(answer.read(MAX_ANSWER_BYTES))
    except urllib.error.HTTPError as error:
        raise _error_from_status(url, error) from error
    except (OSError, http.client.HTTPException) as error:
        raise OriolegateError(
            f"{url} can't be reached ({error}); check the URL and whether the"
            " process is running.",
            ResultCode.NOT_READY,
        ) from error


def request_json(
    url: str,
    path: str,
    key: str | None = None,
    body: Mapping[str, Any] | None = None,
    timeout_s: float = 5.0,
) -> Any:
    """Send a GET request or, with a body, a POST request to a process.

    Args:
        url: Base URL of the admin port.
        path: Path with a leading slash; may contain a query.
        key: Bearer token, or None.
        body: Body to send as JSON, or None.
        timeout_s: Timeout of each socket operation.

    Returns:
        The decoded answer.

    Raises:
        OriolegateError: With the code that the process answered, or NOT_READY
            if it can't be reached.
    """
    text = _send_request(url, _build_request(url + path, key, body), timeout_s)
    try:
        return json.loads(text)
    except ValueError as error:
        raise OriolegateError(
            f"{url}{path} did not answer with JSON; check that it is the"
            " admin port of an oriolegate process.",
            ResultCode.NOT_FOUND,
        ) from error
