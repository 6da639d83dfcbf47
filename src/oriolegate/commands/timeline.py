"""`oriolegate timeline`: show the events of several processes in order."""

import argparse
import json
import os
import pathlib
import sys
import urllib.parse

from oriolegate.cli import options
from oriolegate.cli.status_codes import ExitStatus
from oriolegate.commands import request_all
from oriolegate.exceptions import OriolegateError
from oriolegate.settings.client import load_timeline_settings
from oriolegate.settings.client import TIMELINE_SETTINGS
from oriolegate.settings.client import TimelineFormat
from oriolegate.settings.client import TimelineSettings
from oriolegate.timeline import events_json
from oriolegate.timeline import merge
from oriolegate.timeline import svg
from oriolegate.timeline import text_output
from oriolegate.timeline.events import TimelineEvent
from oriolegate.timeline.merge import MergedTimeline


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    options.add_settings(parser, TIMELINE_SETTINGS)


def _events_path(request_id: str | None) -> str:
    if request_id is None:
        return "/events"
    return "/events?" + urllib.parse.urlencode({"request": request_id})


def _read_events(answers: request_all.Answers) -> list[TimelineEvent]:
    events: list[TimelineEvent] = []
    for url, plain_events in answers.received.items():
        known, unknown = events_json.parse_events(plain_events)
        events += known
        if unknown:
            print(
                f"oriolegate: {url} sent {unknown} events of a newer version,"
                " which were skipped; update this program to see them.",
                file=sys.stderr,
            )
    return events


def _select(
    timeline: MergedTimeline, settings: TimelineSettings
) -> MergedTimeline:
    if settings.request is not None:
        timeline = merge.select_request(timeline, settings.request)
    if settings.last_ms is not None:
        timeline = merge.select_newest(timeline, settings.last_ms)
    return timeline


def _render(timeline: MergedTimeline, timeline_format: TimelineFormat) -> str:
    match timeline_format:
        case TimelineFormat.TEXT:
            return text_output.render_text(timeline)
        case TimelineFormat.JSON:
            plain = text_output.to_plain(timeline)
            return json.dumps(plain, indent=2) + "\n"
        case TimelineFormat.SVG:
            return svg.render_svg(timeline)


def _write(text: str, output: str | None) -> None:
    if output is None:
        print(text, end="")
        return
    try:
        pathlib.Path(output).write_text(text, encoding="utf-8")
    except OSError as error:
        raise OriolegateError(
            f"{output} can't be written ({error}); choose another --output."
        ) from error


def run(arguments: argparse.Namespace) -> int:
    """Read, merge and print the events.

    Returns:
        The exit status: UNAVAILABLE if a process did not answer.
    """
    settings = load_timeline_settings(vars(arguments), os.environ)
    answers = request_all.request_all(settings, _events_path(settings.request))
    timeline = _select(merge.merge(_read_events(answers)), settings)
    _write(_render(timeline, settings.format), settings.output)
    return ExitStatus.UNAVAILABLE if answers.failed else ExitStatus.SUCCESS
