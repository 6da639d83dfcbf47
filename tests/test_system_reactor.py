"""Tests that the package has one source of time for its timers."""

import os
import pathlib
import re
import subprocess
import sys
import unittest

SOURCES = pathlib.Path(__file__).parents[1] / "src"
# Modules that read a clock of the machine or import the reactor; the last one
# measures processor time.
CLOCK_READERS = {"clock.py", "system_reactor.py", "measurement/cost.py"}
CLOCK_READING = re.compile(
    r"^\s*(import time$|from time import|from twisted\.internet import reactor)"
    r"|datetime\.(now|utcnow|today)\(|^\s*import asyncio",
    re.MULTILINE,
)
# Steps the time of day while timers are set, and prints how late each one is.
SCRIPT = """
import time
read_time = time.time
step_s = 0.0
time.time = lambda: read_time() + step_s
from oriolegate import system_reactor
reactor = system_reactor.get_reactor()
started_s = time.monotonic()

def step():
    global step_s
    step_s = {step_s}
    reactor.callLater(0.3, reactor.stop)

def note():
    print(time.monotonic() - started_s)

reactor.callLater(0.1, step)
reactor.callLater(0.3, note)
reactor.run()
"""


class SystemReactorTest(unittest.TestCase):
    def test_no_other_module_reads_a_clock_or_takes_the_reactor(self):
        readers = {
            str(path.relative_to(SOURCES / "oriolegate"))
            for path in SOURCES.rglob("*.py")
            if CLOCK_READING.search(path.read_text())
        }
        self.assertEqual(readers, CLOCK_READERS)

    def test_timers_are_on_time_though_the_time_of_day_jumps(self):
        # Timers were late by as much as the time of day was set back.
        for step_s in (-2.4, 2.4, -3_600.0, 3_600.0):
            with self.subTest(step_s=step_s):
                printed = subprocess.run(
                    [sys.executable, "-c", SCRIPT.format(step_s=step_s)],
                    env=os.environ | {"PYTHONPATH": str(SOURCES)},
                    capture_output=True,
                    text=True,
                    check=True,
                    timeout=30,
                )
                waited_s = float(printed.stdout)
                self.assertGreater(waited_s, 0.29)
                self.assertLess(waited_s, 1.0)
