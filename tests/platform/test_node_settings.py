"""Tests of reading the settings file of a VM."""

import pathlib
import tempfile
import unittest

from oriolegate.exceptions import SettingsError
from oriolegate.models.machine import MachineLimits
from oriolegate.platform import node_settings

TEXT = """node_name=edge-1
zone=dc-a
region=north
zones.dc-a=north
zones.dc-b=south
ip=10.1.0.39
listen.front=10.1.0.39:8226
listen.ready=10.1.0.39:8227
internal_ports=7740,7755
seeds=10.1.0.39:8224,10.2.0.33:8224
new.field=whatever
bounds.drain_ms=5000
bounds.grace_s=6
bounds.retry_budget_ratio=0.3
bounds.budget_window_s=8
platform.address=10.200.1.7:8229
"""


class NodeSettingsTest(unittest.TestCase):
    def test_fields_are_decoded_with_their_units(self):
        settings = node_settings.decode(TEXT)
        self.assertEqual(settings.caller_address, ("10.1.0.39", 8226))
        self.assertEqual(settings.regions, {"dc-a": "north", "dc-b": "south"})
        self.assertEqual(settings.region, "north")
        self.assertEqual(settings.internal_ports, (7740, 7755))
        self.assertEqual(settings.seeds, ("10.1.0.39", "10.2.0.33"))
        self.assertEqual(settings.bounds.grace_ms, 6_000.0)
        self.assertEqual(settings.bounds.retry_window_ms, 8_000.0)
        self.assertEqual(settings.bounds.retry_ratio, 0.3)

    def test_missing_bounds_keep_their_default(self):
        self.assertEqual(node_settings.decode(TEXT).bounds.cold_slack, 5.0)

    def test_the_limits_of_the_machine_are_decoded(self):
        limits = "limits.memory_mb=300\nlimits.max_fds=4100\n"
        self.assertEqual(
            node_settings.decode(TEXT + limits).limits,
            MachineLimits(memory_mb=300.0, descriptors=4_100),
        )
        self.assertEqual(node_settings.decode(TEXT).limits, MachineLimits())

    def test_each_missing_required_field_is_rejected(self):
        for name in (
            "node_name",
            "zone",
            "ip",
            "listen.front",
            "listen.ready",
            "internal_ports",
            "platform.address",
        ):
            lines = [
                line
                for line in TEXT.splitlines()
                if not line.startswith(f"{name}=")
            ]
            with self.subTest(name=name), self.assertRaises(SettingsError):
                node_settings.decode("\n".join(lines))

    def test_invalid_values_are_rejected(self):
        for line in (
            "bounds.grace_s=soon",
            "listen.front=10.1.0.39",
            "internal_ports=7740",
            "limits.memory_mb=0",
            "limits.memory_mb=nan",
            "limits.max_fds=-1",
            "limits.max_fds=inf",
            "limits.max_fds=many",
        ):
            with self.subTest(line=line), self.assertRaises(SettingsError):
                node_settings.decode(TEXT + line)

    def test_a_file_is_read(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "node.conf")
            path.write_text(TEXT)
            self.assertEqual(node_settings.read(str(path)).vm, "edge-1")

    def test_the_error_for_a_missing_file_names_the_variable(self):
        with self.assertRaisesRegex(SettingsError, "ORIOLEGATE_BOOT"):
            node_settings.read("/nowhere/node.conf")
