"""Tests of a planned stop of a whole serving process."""

import http.client
import os
import signal
import socket
import subprocess
import sys
import unittest

from oriolegate.measurement.embedded_site import free_ports
from tests.cli.test_command_line import SOURCE
from tests.cli.test_command_line import TIMEOUT_S

KEY = "a-key-of-some-length"


class PlannedStopTest(unittest.TestCase):
    def start(self, notice_ms):
        self.platform = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.platform.close)
        self.caller, self.admin, peer = free_ports(3)
        environ = {
            "PYTHONPATH": str(SOURCE),
            "ORIOLEGATE_VM": "entry-1",
            "ORIOLEGATE_DATA_CENTRE": "nairobi-a",
            "ORIOLEGATE_PLATFORM_URLS": "http://127.0.0.1:"
            f"{self.platform.getsockname()[1]}",
            "ORIOLEGATE_PEER_KEY": KEY,
            "ORIOLEGATE_ADMIN_KEY": KEY,
            "ORIOLEGATE_CALLER_PORT": str(self.caller),
            "ORIOLEGATE_ADMIN_PORT": str(self.admin),
            "ORIOLEGATE_PEER_PORT": str(peer),
            "ORIOLEGATE_BALANCER_NOTICE_MS": str(notice_ms),
            "ORIOLEGATE_STOP_LIMIT_MS": str(notice_ms + 30_000),
        }
        process = subprocess.Popen(
            [sys.executable, "-m", "oriolegate", "serve"],
            env=environ,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.read_until(process, "Serving as entry-1")
        # Once the process calls the platform, its reactor and its signal
        # handlers run.
        self.platform.settimeout(TIMEOUT_S)
        connection, _ = self.platform.accept()
        self.addCleanup(connection.close)
        return process

    def read_until(self, process, text):
        for line in process.stderr:
            if text in line:
                return
        self.fail(f"the log ended without {text!r}")

    def send_request(self, port, method, path):
        connection = http.client.HTTPConnection("127.0.0.1", port, TIMEOUT_S)
        self.addCleanup(connection.close)
        connection.request(method, path, b"")
        return connection.getresponse()

    def test_a_leaving_process_serves_until_the_balancer_has_noticed(self):
        process = self.start(notice_ms=600_000 - 1)
        for _ in range(2):
            os.kill(process.pid, signal.SIGTERM)
        self.read_until(process, "leaving balancer")
        self.assertEqual(
            self.send_request(self.admin, "GET", "/readyz").status, 503
        )
        answer = self.send_request(self.caller, "POST", "/v1/query/forecast")
        self.assertEqual(answer.headers["Connection"], "close")
        self.assertIn(b"NOT_READY", answer.read())
        self.assertIsNone(process.poll())

    # Sent to all processes of a terminal or a supervisor when settings change.
    def test_a_hangup_signal_cuts_no_request(self):
        process = self.start(notice_ms=0)
        os.kill(process.pid, signal.SIGHUP)
        self.read_until(process, "SIGHUP")
        answer = self.send_request(self.caller, "POST", "/v1/query/forecast")
        self.assertIn(b"NOT_READY", answer.read())
        self.assertIsNone(process.poll())

    def test_an_idle_process_exits_with_status_0(self):
        process = self.start(notice_ms=0)
        os.kill(process.pid, signal.SIGTERM)
        self.read_until(process, "stopped")
        self.assertEqual(process.wait(TIMEOUT_S), 0)
