"""Test case that runs commands against an HTTP server with canned answers."""

import contextlib
import http.server
import io
import json
import os
import pathlib
import tempfile
import threading
import unittest
from unittest import mock

from oriolegate.cli import main_parser


class _Handler(http.server.BaseHTTPRequestHandler):
    def do_GET(self):  # noqa: N802 (the library's name)
        self.reply()

    def do_POST(self):  # noqa: N802 (the library's name)
        self.reply()

    def reply(self):
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length)
        key = self.headers.get("Authorization")
        self.server.received.append((self.command, self.path, key, body))
        answer = self.server.answer
        status, answer = answer(body) if callable(answer) else answer
        content = answer if isinstance(answer, bytes) else json.dumps(answer)
        self.send_response(status)
        self.end_headers()
        self.wfile.write(
            content if isinstance(content, bytes) else content.encode()
        )

    def log_message(self, *_):
        """Keep the test output clean."""


class CommandTestCase(unittest.TestCase):
    """Runs commands, with a local HTTP server as the admin endpoint of a VM.

    Attributes:
        admin: Base URL of the server.
        server: `received` lists the requests as (method, path, authorization,
            body); `answer` is the (status, body) to send, or a function
            that returns the pair for a request body.
        folder: Temporary directory.
    """

    def setUp(self):
        self.server = http.server.HTTPServer(("127.0.0.1", 0), _Handler)
        self.server.received = []
        self.server.answer = (200, {})
        self.admin = f"http://127.0.0.1:{self.server.server_port}"
        thread = threading.Thread(
            target=self.server.serve_forever, args=(0.01,)
        )
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name, text):
        path = self.folder / name
        path.write_bytes(text.encode())
        return str(path)

    def run_command(self, *arguments, **variables):
        """Return the exit status, standard output and standard error."""
        out, err = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
            mock.patch.dict(os.environ, variables),
        ):
            try:
                status = main_parser.run(arguments)
            except SystemExit as stopped:
                status = stopped.code
        return status, out.getvalue(), err.getvalue()
