"""Asking several processes for the same thing."""

import sys
from typing import Any

import attrs

from oriolegate.commands import admin_client
from oriolegate.exceptions import OriolegateError
from oriolegate.settings.client import ClientSettings


@attrs.frozen
class Answers:
    """What each process said, by URL.

    Attributes:
        found: Decoded answers.
        failed: Errors of the processes that gave none.
    """

    found: dict[str, Any]
    failed: dict[str, OriolegateError]

    def raise_if_none(self) -> None:
        """Raise the first error if no process answered.

        Raises:
            OriolegateError: As the first process caused it.
        """
        if not self.found:
            raise next(iter(self.failed.values()))


def ask_all(settings: ClientSettings, path: str) -> Answers:
    """Ask each process; those that fail are told on the standard error."""
    answers = Answers({}, {})
    for url in settings.admin:
        try:
            answers.found[url] = admin_client.request_json(
                url, path, settings.admin_key, timeout_s=settings.timeout_s
            )
        except OriolegateError as error:
            answers.failed[url] = error
    answers.raise_if_none()
    for failure in answers.failed.values():
        print(f"oriolegate: {int(failure.code)} {failure}", file=sys.stderr)
    return answers
