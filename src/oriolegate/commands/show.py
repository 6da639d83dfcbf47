"""`oriolegate show`: print the rules, or explain what they decide."""

import argparse
import sys

import attrs

from oriolegate.cli.status_codes import ExitStatus
from oriolegate.clock import SystemClock
from oriolegate.commands import admin_request
from oriolegate.exceptions import SettingsError
from oriolegate.models.policy import Priority
from oriolegate.models.request import CallerRequest
from oriolegate.rules.evaluation import compile_rules
from oriolegate.rules.explanation import write_explanation
from oriolegate.rules.parser import parse_rule_set
from oriolegate.rules.values import read_time_ms

_FIELDS = ("caller", "route", "priority", "idempotent", "request-id", "at")


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    admin_request.add_option(
        parser, "--file", "a rules file, in place of the accepted version"
    )
    admin_request.add_option(
        parser,
        "--explain",
        "a request as 'caller=NAME route=NAME', and if need be priority=, "
        "idempotent=no, request-id=, at=TIME",
    )
    admin_request.add_admin_options(parser)


@attrs.frozen
class _Question:
    """A request to explain, and when it is asked."""

    request: CallerRequest
    wall_ms: int


def _read_question(text: str) -> _Question:
    pairs = [word.partition("=") for word in text.split()]
    fields = {name: value for name, _, value in pairs}
    unknown = [name for name in fields if name not in _FIELDS]
    if unknown or not {"caller", "route"} <= fields.keys():
        raise SettingsError(
            "--explain takes 'caller=NAME route=NAME' and if need be "
            + ", ".join(f"{name}=" for name in _FIELDS[2:])
        )
    idempotent = fields.get("idempotent", "yes") != "no"
    try:
        request = CallerRequest(
            request_id=fields.get("request-id", "explained"),
            caller=fields["caller"],
            route=fields["route"],
            body=b"",
            idempotent=idempotent,
            idempotency_key=None if idempotent else "explained",
            priority=Priority[fields.get("priority", "normal").upper()],
        )
        wall_ms = SystemClock().wall_ms()
        if "at" in fields:
            wall_ms = read_time_ms(fields["at"])
    except (KeyError, ValueError) as error:
        message = f"--explain can't read {error.args[0]}; see docs/rules.md"
        raise SettingsError(message) from error
    return _Question(request, wall_ms)


@attrs.frozen
class _ShownRules:
    """A rules text with where it comes from."""

    source: str
    version: int
    text: str
    summary: str


def _load(arguments: argparse.Namespace) -> _ShownRules | None:
    if arguments.file:
        text = admin_request.read_text_file(arguments.file)
        return _ShownRules(arguments.file, 0, text, f"file {arguments.file}")
    endpoint = admin_request.admin_endpoint(arguments)
    answered = admin_request.call_admin(endpoint, "/rules")
    if answered.is_error():
        print(f"oriolegate: {answered.error.message}", file=sys.stderr)
        return None
    answer = answered.ok
    version = answer.get("version")
    if type(version) is not int or not isinstance(answer.get("text"), str):
        reason = answer.get("message", "the answer holds no rules")
        print(f"oriolegate: {reason}", file=sys.stderr)
        return None
    summary = f"version {version}, in force on {len(answer['in_force_on'])} VMs"
    if answer["pending_on"]:
        summary += f", pending on {', '.join(answer['pending_on'])}"
    return _ShownRules(f"version {version}", version, answer["text"], summary)


def run(arguments: argparse.Namespace) -> int:
    """Print the text to standard output, so that it can be redirected.

    Returns:
        The exit status.
    """
    question = _read_question(arguments.explain) if arguments.explain else None
    shown = _load(arguments)
    if shown is None:
        return ExitStatus.UNAVAILABLE
    print(shown.summary, file=sys.stderr)
    if question is None:
        print(shown.text, end="")
        return ExitStatus.SUCCESS
    parsed = parse_rule_set(shown.version, shown.text)
    if parsed.is_error():
        for error in parsed.error:
            print(error.render(shown.source), file=sys.stderr)
        return ExitStatus.ERROR
    active = compile_rules(parsed.ok, question.wall_ms)
    decision = active.explain(question.request, question.wall_ms)
    if decision is None:
        route = question.request.route
        print(f"no rule names the route {route}", file=sys.stderr)
        return ExitStatus.ERROR
    print(write_explanation(decision), end="")
    return ExitStatus.SUCCESS
