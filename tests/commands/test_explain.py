"""Tests of `oriolegate explain`."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from oriolegate.cli import main_parser
from oriolegate.commands import explain


def line(second, part, message, **fields):
    time = f"2026-01-02T03:04:{second:06.3f}Z"
    record = {"time": time, "level": "INFO", "message": message, "part": part}
    return json.dumps(record | fields)


REQUEST = line(
    10.0,
    "requests",
    "request gathered",
    id="a1",
    missing=1,
    decisions=[
        [60.0, "hedge", "s1", "i-1", "expected 50 ms"],
        [150.0, "stopped waiting", "", "", "s1"],
    ],
)
LINES = [
    line(2.0, "site", "leaf changed", leaf="i-9", service="s9"),
    line(8.0, "store", "store lost", collection="LEAFS"),
    line(9.0, "site", "leaf entry gone", leaf="i-1"),
    line(9.5, "site", "leaf entry gone", leaf="i-2"),
    line(9.9, "requests", "request gathered", id="other"),
    REQUEST,
    line(11.0, "store", "store regained"),
    "not a log line",
    '{"broken": ',
]


def parsed(texts, source="vm-1"):
    return list(explain.read_lines(source, texts))


class SelectLinesTest(unittest.TestCase):
    def messages(self, lines, around_ms=5_000.0):
        selected = explain.select_lines(lines, "a1", around_ms)
        return [line.fields["message"] for line in selected]

    def test_a_request_is_shown_with_relevant_earlier_lines_of_its_vm(self):
        self.assertEqual(
            self.messages(parsed(LINES)),
            ["store lost", "leaf entry gone", "request gathered"],
        )

    def test_lines_of_other_vms_are_omitted(self):
        lines = [*parsed(LINES[:5], "vm-2"), *parsed([REQUEST])]
        self.assertEqual(self.messages(lines), ["request gathered"])

    def test_context_is_limited_to_the_given_time(self):
        self.assertEqual(
            self.messages(parsed(LINES), 500.0), ["request gathered"]
        )

    def test_the_prefix_of_a_log_collector_is_the_source(self):
        (log_line,) = parsed([f"  12.5 edge-1 {REQUEST}"], "file")
        self.assertEqual(log_line.source, "edge-1")

    def test_each_decision_is_rendered_on_its_own_line(self):
        (log_line,) = parsed([REQUEST])
        text = explain.render(log_line)
        self.assertEqual(len(text), 3)
        self.assertEqual(text[1], "    +60.0 ms hedge s1 i-1 expected 50 ms")


class CommandTest(unittest.TestCase):
    def run_command(self, request_id):
        out, err = io.StringIO(), io.StringIO()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "vm-1.log")
            path.write_text("\n".join(LINES))
            with (
                contextlib.redirect_stdout(out),
                contextlib.redirect_stderr(err),
            ):
                status = main_parser.run(["explain", request_id, str(path)])
        return status, out.getvalue(), err.getvalue()

    def test_a_known_request_is_explained(self):
        status, out, _ = self.run_command("a1")
        self.assertEqual(status, 0)
        self.assertIn("stopped waiting s1", out)

    def test_an_unknown_request_is_reported_as_an_error(self):
        status, out, err = self.run_command("a2")
        self.assertEqual((status, out), (1, ""))
        self.assertIn("no line names a2", err)
