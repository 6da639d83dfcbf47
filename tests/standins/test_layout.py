"""Tests of layouts and of the example layout files."""

import pathlib
import unittest

from oriolegate.exceptions import SettingsError
from oriolegate.standins import layout
from oriolegate.standins.named_layouts import ANGA_PAMOJA
from oriolegate.standins.named_layouts import CONSORTIUM
from oriolegate.standins.named_layouts import NAMED_LAYOUTS

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"


def sizes(named):
    return {
        row.name: (
            row.instances,
            row.leafs_per_instance,
            row.slots,
            row.connections,
            row.connection_ms,
        )
        for row in named.services
    }


class NamedLayoutsTest(unittest.TestCase):
    def test_anga_pamoja_has_the_sizes_of_the_brief(self):
        self.assertEqual(
            sizes(ANGA_PAMOJA),
            {
                "studio-desk": (10, 3, 4, 35, 6.0),
                "producer-board": (15, 3, 4, 35, 6.0),
                "archive-desk": (10, 1, 4, 110, 1.0),
                "member-portal": (5, 1, 4, 110, 1.0),
            },
        )

    def test_consortium_has_the_sizes_of_the_brief(self):
        self.assertEqual(
            sizes(CONSORTIUM),
            {
                "cobro-core": (10, 3, 2, 25, 6.0),
                "portal-flotas": (15, 3, 2, 25, 6.0),
                "comprobantes": (5, 1, 3, 40, 1.0),
                "auditoria": (3, 1, 3, 40, 1.0),
            },
        )

    def test_example_files_equal_the_named_layouts(self):
        for name, named in NAMED_LAYOUTS.items():
            path = EXAMPLES / name / "layout.toml"
            self.assertEqual(layout.read_layout_file(str(path)), named)


class LayoutTest(unittest.TestCase):
    def test_latency_depends_on_data_centre_and_region(self):
        example = layout.Layout(
            name="x",
            regions={"a-1": "a", "a-2": "a", "b-1": "b"},
            between_data_centres_ms=0.5,
            between_regions_ms=20.0,
            hosts={"127.0.0.9": "a-1"},
            services=(),
        )
        self.assertEqual(example.latency_ms("a-1", "a-1"), 0.0)
        self.assertEqual(example.latency_ms("a-1", "a-2"), 0.5)
        self.assertEqual(example.latency_ms("a-2", "b-1"), 20.0)
        self.assertEqual(example.latency_from_host_ms("127.0.0.9", "b-1"), 20.0)
        self.assertEqual(example.latency_from_host_ms("127.0.0.1", "b-1"), 0.0)
        self.assertEqual(example.max_latency_ms(), 20.0)

    def test_invalid_layouts_raise_settings_errors(self):
        for text in (
            "x = ",
            'name = "x"',
            'name = "x"\nregions = {}\nservices = [{ size = 1 }]',
            'name = "x"\nregions = {}\nservices = []\nother = 1',
        ):
            with self.assertRaises(SettingsError):
                layout.read_layout(text)
        with self.assertRaises(SettingsError):
            layout.read_layout_file(str(EXAMPLES / "none.toml"))

    def test_service_needs_enough_leafs_for_its_replicas(self):
        text = (
            'name = "x"\nregions = { a = "a", b = "b" }\n'
            '[[services]]\nname = "s"\ninstances = 1\nslots = 1\n'
            "connections = 1\nconnection_ms = 1.0\nshards = 1\nreplicas = 2\n"
        )
        with self.assertRaises(SettingsError):
            layout.read_layout(text)
        layout.read_layout(text.replace("instances = 1", "instances = 2"))
