"""Send one GET request to the admin ports of several processes."""

import sys
from typing import Any

import attrs

from oriolegate.commands import admin_client
from oriolegate.exceptions import OriolegateError
from oriolegate.settings.client import ClientSettings


@attrs.frozen
class Answers:
    """Answers and errors of the processes, by URL.

    Attributes:
        received: Decoded answers.
        failed: Errors of the processes without an answer.
    """

    received: dict[str, Any]
    failed: dict[str, OriolegateError]

    def raise_if_none(self) -> None:
        """Raise an exception if no process answered.

        Raises:
            OriolegateError: Error of the first process in `settings.admin`.
        """
        if not self.received:
            raise next(iter(self.failed.values()))


def request_all(settings: ClientSettings, path: str) -> Answers:
    """Request a path from each process; print failures to standard error.

    Raises:
        OriolegateError: If no process answered.
    """
    answers = Answers({}, {})
    for url in settings.admin:
        try:
            answers.received[url] = admin_client.request_json(
                url, path, settings.admin_key, timeout_s=settings.timeout_s
            )
        except OriolegateError as error:
            answers.failed[url] = error
    answers.raise_if_none()
    for failure in answers.failed.values():
        print(f"oriolegate: {int(failure.code)} {failure}", file=sys.stderr)
    return answers
