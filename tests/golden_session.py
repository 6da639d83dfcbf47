"""Golden files: what went into a core and came out of it, line by line.

Write a file anew with `GOLDEN_UPDATE=1 make unit TESTS=...`, and read the
difference before committing it.
"""

import os
import pathlib


class GoldenSession:
    """Collects a session and compares it with its file."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.lines = []

    def record_event(self, now_ms, vm, event):
        self.lines.append(f"{now_ms:9.1f} {vm} < {event}")

    def record_effect(self, now_ms, vm, effect):
        self.lines.append(f"{now_ms:9.1f} {vm} > {effect}")

    def compare(self, test):
        """Fail the test unless the session is the one in the file."""
        if os.environ.get("GOLDEN_UPDATE"):
            self.path.write_text("\n".join(self.lines) + "\n")
        golden = self.path.read_text().splitlines()
        test.assertEqual(self.lines, golden)
