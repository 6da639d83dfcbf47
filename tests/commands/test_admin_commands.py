"""Functional tests of the commands that query running processes."""

import functools
import http.server
import json
import pathlib
import tempfile
import threading
import unittest
import urllib.parse

from oriolegate.cli.status_codes import ExitStatus
from oriolegate.commands import status
from oriolegate.result_codes import ResultCode
from oriolegate.timeline import events_json
from tests.cli.test_command_line import run_command
from tests.timeline import session

KEY = "an-admin-key-of-some-length"
UNREACHABLE = "http://127.0.0.1:1"


class AdminHandler(http.server.BaseHTTPRequestHandler):
    """Imitates the admin port of one process."""

    def __init__(self, vm, *arguments):
        self.vm = vm
        super().__init__(*arguments)

    def log_message(self, *arguments):
        """Keep the test's output clean."""

    def do_GET(self):  # noqa: N802 (the library's name)
        if self.headers["Authorization"] != f"Bearer {KEY}":
            self.answer(401, {})
            return
        path, _, query = self.path.partition("?")
        if path == "/events":
            self.answer(200, self.events(urllib.parse.parse_qs(query)))
        elif path == "/status":
            self.answer(200, {"vm": self.vm, "leafs": {"cold": 1}})
        else:
            code = ResultCode.RULES_CONFLICT
            self.answer(409, {"code": code, "message": "Read again."})

    def events(self, query):
        return [
            events_json.to_plain(placed.event)
            for placed in session.recorded_request().events
            if placed.event.vm == self.vm
            and placed.event.request_id
            in query.get("request", [placed.event.request_id])
        ]

    def answer(self, status_code, body):
        data = json.dumps(body).encode()
        self.send_response(status_code)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


def start_admin(test, vm):
    server = http.server.ThreadingHTTPServer(
        ("127.0.0.1", 0), functools.partial(AdminHandler, vm)
    )
    serve = functools.partial(server.serve_forever, poll_interval=0.01)
    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    test.addCleanup(thread.join)
    test.addCleanup(server.server_close)
    test.addCleanup(server.shutdown)
    return f"http://127.0.0.1:{server.server_address[1]}"


class AdminCommandsTest(unittest.TestCase):
    def setUp(self):
        self.urls = [start_admin(self, vm) for vm in ("entry-1", "entry-2")]

    def run_with_key(self, command, *arguments, urls=None, **environ):
        flags = [f"--admin={url}" for url in urls or self.urls]
        environ = {"ORIOLEGATE_ADMIN_KEY": KEY} | environ
        return run_command(command, *flags, *arguments, **environ)

    def golden(self, name):
        path = pathlib.Path(session.__file__).parent / "golden" / name
        return path.read_text()

    def test_a_timeline_shows_the_events_of_one_request_as_text(self):
        completed = self.run_with_key("timeline", "--request", session.REQUEST)
        self.assertEqual(completed.stderr, "")
        self.assertEqual(completed.stdout, self.golden("request.txt"))
        self.assertEqual(completed.returncode, ExitStatus.SUCCESS)

    def test_an_svg_timeline_is_written_to_the_output_file(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "request.svg"
            completed = self.run_with_key(
                "timeline",
                f"--request={session.REQUEST}",
                "--format=svg",
                f"--output={path}",
            )
            self.assertEqual(completed.stdout + completed.stderr, "")
            self.assertEqual(path.read_text(), self.golden("request.svg"))

    def test_an_unknown_request_has_no_events(self):
        completed = self.run_with_key("timeline", "--request=other")
        self.assertEqual(completed.stdout, "# no events\n")

    def test_an_unreachable_process_is_reported_and_the_others_shown(self):
        urls = [self.urls[0], UNREACHABLE]
        for command, shown in (("timeline", "forwarded"), ("status", "cold")):
            completed = self.run_with_key(command, urls=urls)
            self.assertEqual(completed.returncode, ExitStatus.UNAVAILABLE)
            self.assertIn(
                f"3001 {UNREACHABLE} can't be reached", completed.stderr
            )
            self.assertIn(shown, completed.stdout)

    def test_no_reachable_process_is_an_error(self):
        completed = self.run_with_key("status", urls=[UNREACHABLE])
        self.assertEqual(completed.returncode, ExitStatus.UNAVAILABLE)
        self.assertEqual(completed.stdout, "")

    def test_a_wrong_key_names_the_variable(self):
        completed = self.run_with_key("status", ORIOLEGATE_ADMIN_KEY="x" * 20)
        self.assertEqual(completed.returncode, ExitStatus.ERROR)
        self.assertIn("set ORIOLEGATE_ADMIN_KEY", completed.stderr)

    def test_code_and_message_of_the_process_are_reported(self):
        urls = [self.urls[0] + "/elsewhere"]
        completed = self.run_with_key("status", urls=urls)
        self.assertEqual(completed.returncode, ExitStatus.CONFLICT)
        self.assertIn("5002 Read again.", completed.stderr)

    def test_invalid_settings_are_reported_together(self):
        completed = run_command("timeline", "--format=svg", "--last-ms=0")
        self.assertEqual(completed.returncode, ExitStatus.USAGE)
        for flag in ("--admin", "--request", "--last-ms"):
            self.assertIn(flag, completed.stderr)

    def test_settings_can_come_from_variables_alone(self):
        completed = run_command(
            "status",
            ORIOLEGATE_ADMIN=",".join(self.urls),
            ORIOLEGATE_ADMIN_KEY=KEY,
            ORIOLEGATE_FORMAT="json",
        )
        statuses = json.loads(completed.stdout)
        self.assertEqual(statuses[self.urls[1]]["vm"], "entry-2")


class StatusTableTest(unittest.TestCase):
    def test_rows_are_fields_and_columns_are_processes(self):
        table = status.status_table(
            {
                "http://a": {"vm": "entry-1", "leafs": {"cold": 1}, "x": []},
                "http://b": {"vm": "entry-2", "ready": True},
            }
        )
        self.assertEqual(
            table,
            "url         http://a  http://b\n"
            "vm          entry-1   entry-2\n"
            "leafs.cold  1         -\n"
            "x           -         -\n"
            "ready       -         true\n",
        )
