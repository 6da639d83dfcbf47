"""Tests of the sections of the page of measurements and of its plots."""

import unittest
from xml.etree import ElementTree

from oriolegate.measurement import pages
from oriolegate.measurement import plots
from oriolegate.measurement.scenario import TimelinePoint

PAGE = "a\n<!-- figures: begin -->\nold\n<!-- figures: end -->\nb\n"
VIOLATIONS = {"cut": 0, "lost": 2}


def figures(p99_ms):
    row = dict.fromkeys(pages.COLUMNS, 1)
    return row | {"p99_ms": p99_ms, "violations": VIOLATIONS}


def measured():
    row = {
        "name": "steady",
        "policy": figures(20.0),
        "baseline": figures(90.0),
    }
    return {"seed": 1, "scenarios": [row]}


class PagesTest(unittest.TestCase):
    def test_replacing_a_section_keeps_the_rest_of_the_page(self):
        page = pages.replace_section(PAGE, "figures", "new\n")
        self.assertNotIn("old", page)
        self.assertTrue(page.startswith("a\n") and page.endswith("b\n"))
        self.assertEqual(pages.replace_section(page, "figures", "new\n"), page)

    def test_a_page_without_markers_raises_an_error(self):
        with self.assertRaises(ValueError):
            pages.replace_section("a\n", "figures", "new\n")

    def test_the_table_lists_the_violations_that_occurred(self):
        table = pages.figures_table(measured())
        self.assertIn("| steady | policy |", table)
        self.assertIn("lost 2", table)

    def test_the_limit_with_perfect_second_choices_excludes_stragglers(self):
        limit_ms = pages.second_choice_limit_ms(1, quantile=0.5)
        self.assertLess(4.0, limit_ms)
        self.assertLess(limit_ms, 40.0)


class PlotsTest(unittest.TestCase):
    def test_the_latency_plot_has_three_dots_for_each_side(self):
        text = plots.latency_plot(measured()["scenarios"])
        root = ElementTree.fromstring(text)
        circles = root.findall("{http://www.w3.org/2000/svg}circle")
        self.assertEqual(len(circles), 6)

    def test_the_timeline_omits_points_without_an_answer(self):
        points = [
            TimelinePoint(0.0, 1.0, 10.0),
            TimelinePoint(100.0, 0.0, None),
        ]
        text = plots.timeline_plot({"policy": points}, 50.0, 100.0, 200.0)
        root = ElementTree.fromstring(text)
        lines = root.findall("{http://www.w3.org/2000/svg}polyline")
        counts = [len(line.get("points").split()) for line in lines]
        self.assertEqual(counts, [2, 1])
