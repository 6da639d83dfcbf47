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
from oriolegate.rules.explanation import render_explanation
from oriolegate.rules.parser import parse_rule_set
from oriolegate.rules.values import parse_time_ms

_FIELDS = ("caller", "route", "priority", "idempotent", "request-id", "at")


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    admin_request.add_option(
        parser, "--file", "a rules file instead of the accepted version"
    )
    admin_request.add_option(
        parser,
        "--explain",
        "a request as 'caller=NAME route=NAME', and optionally priority=, "
        "idempotent=no, request-id=, at=TIME",
    )
    admin_request.add_admin_options(parser)


@attrs.frozen
class _ExplainedRequest:
    """Request to explain, and the wall clock time to evaluate the rules at."""

    request: CallerRequest
    wall_ms: int


def _parse_explained_request(text: str) -> _ExplainedRequest:
    pairs = [word.partition("=") for word in text.split()]
    fields = {name: value for name, _, value in pairs}
    unknown = [name for name in fields if name not in _FIELDS]
    if unknown or not {"caller", "route"} <= fields.keys():
        raise SettingsError(
            "--explain takes 'caller=NAME route=NAME' and optionally "
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
            wall_ms = parse_time_ms(fields["at"])
    except (KeyError, ValueError) as error:
        message = f"--explain can't read {error.args[0]}; see docs/rules.md"
        raise SettingsError(message) from error
    return _ExplainedRequest(request, wall_ms)


@attrs.frozen
class _ShownRules:
    """Text of rules, with its source for error messages and a summary."""

    source: str
    version: int
    text: str
    summary: str


def _load_rules(arguments: argparse.Namespace) -> _ShownRules | None:
    if arguments.file:
        text = admin_request.read_text_file(arguments.file)
        return _ShownRules(arguments.file, 0, text, f"file {arguments.file}")
    endpoint = admin_request.admin_endpoint(arguments)
    result = admin_request.call_admin(endpoint, "/rules")
    if result.is_error():
        print(f"oriolegate: {result.error.message}", file=sys.stderr)
        return None
    answer = result.ok
    version = answer.get("version")
    if type(version) is not int or not isinstance(answer.get("text"), str):
        reason = answer.get("message", "the answer contains no rules")
        print(f"oriolegate: {reason}", file=sys.stderr)
        return None
    summary = f"version {version}, in force on {len(answer['in_force_on'])} VMs"
    if answer["pending_on"]:
        summary += f", pending on {', '.join(answer['pending_on'])}"
    return _ShownRules(f"version {version}", version, answer["text"], summary)


def run(arguments: argparse.Namespace) -> int:
    """Print the rules or an explanation; return the exit status.

    Nothing else goes to standard output, so that the output can be redirected
    to a file.
    """
    explained = (
        _parse_explained_request(arguments.explain)
        if arguments.explain
        else None
    )
    shown = _load_rules(arguments)
    if shown is None:
        return ExitStatus.UNAVAILABLE
    print(shown.summary, file=sys.stderr)
    if explained is None:
        print(shown.text, end="")
        return ExitStatus.SUCCESS
    parsed = parse_rule_set(shown.version, shown.text)
    if parsed.is_error():
        for error in parsed.error:
            print(error.render(shown.source), file=sys.stderr)
        return ExitStatus.ERROR
    active = compile_rules(parsed.ok, explained.wall_ms)
    decision = active.explain(explained.request, explained.wall_ms)
    if decision is None:
        route = explained.request.route
        print(f"no rule names the route {route}", file=sys.stderr)
        return ExitStatus.ERROR
    print(render_explanation(decision), end="")
    return ExitStatus.SUCCESS
