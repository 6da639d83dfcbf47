"""Tests of the modules that `oriolegate gateway` imports, and its settings."""

import os
import pathlib
import subprocess
import sys
import unittest

SOURCES = pathlib.Path(__file__).parents[2] / "src"
# Modules that use megabytes of memory and that a gateway doesn't need.
UNWANTED = (
    "_hashlib",
    "_ssl",
    "cbor2",
    "expression",
    "loguru",
    "multiprocessing",
    "oriolegate.rules",
    "oriolegate.settings",
    "oriolegate.standins",
    "unittest",
    "websockets",
)


class ImportTest(unittest.TestCase):
    def test_modules_that_a_gateway_does_not_need_are_not_imported(self):
        script = (
            "import sys\n"
            "from oriolegate.commands import gateway\n"
            "gateway.block_openssl_imports()\n"
            "from oriolegate.runtime import gateway_process\n"
            "from twisted.internet import reactor\n"
            "print('\\n'.join(n for n, m in sys.modules.items() if m))\n"
        )
        printed = subprocess.run(
            [sys.executable, "-c", script],
            env=os.environ | {"PYTHONPATH": str(SOURCES)},
            capture_output=True,
            text=True,
            check=True,
        )
        loaded = set(printed.stdout.split())
        self.assertEqual([name for name in UNWANTED if name in loaded], [])


class SettingsTest(unittest.TestCase):
    def test_a_missing_settings_file_is_a_clear_error(self):
        printed = subprocess.run(
            [sys.executable, "-m", "oriolegate", "gateway"],
            env=os.environ
            | {"PYTHONPATH": str(SOURCES), "ORIOLEGATE_BOOT": "/nowhere"},
            capture_output=True,
            text=True,
        )
        self.assertEqual(printed.returncode, 2)
        self.assertIn("settings file can't be read", printed.stderr)
