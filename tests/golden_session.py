"""Golden files: the expected events and effects of a session, one per line.

Update a golden file with `GOLDEN_UPDATE=1 make unit TESTS=...`, and review the
difference before committing it.
"""

import os
import pathlib


class GoldenSession:
    """Records a session and compares it with its golden file."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.lines = []

    def record_event(self, now_ms, vm, event):
        self.lines.append(f"{now_ms:9.1f} {vm} < {event}")

    def record_effect(self, now_ms, vm, effect):
        self.lines.append(f"{now_ms:9.1f} {vm} > {effect}")

    def compare(self, test):
        """Fail the test unless the session equals the golden file."""
        if os.environ.get("GOLDEN_UPDATE"):
            self.path.write_text("\n".join(self.lines) + "\n")
        golden = self.path.read_text().splitlines()
        test.assertEqual(self.lines, golden)
