"""The page's sections and the plots."""

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
    def test_a_section_is_replaced_and_the_rest_stays(self):
        page = pages.replace_section(PAGE, "figures", "new\n")
        self.assertNotIn("old", page)
        self.assertTrue(page.startswith("a\n") and page.endswith("b\n"))
        self.assertEqual(pages.replace_section(page, "figures", "new\n"), page)

    def test_a_page_without_markers_is_refused(self):
        with self.assertRaises(ValueError):
            pages.replace_section("a\n", "figures", "new\n")

    def test_the_table_names_violations(self):
        table = pages.figures_table(measured())
        self.assertIn("| steady | policy |", table)
        self.assertIn("lost 2", table)

    def test_perfect_second_choices_beat_what_stragglers_take(self):
        limit_ms = pages.second_choice_limit_ms(1, quantile=0.5)
        self.assertLess(4.0, limit_ms)
        self.assertLess(limit_ms, 40.0)


class PlotsTest(unittest.TestCase):
    def test_the_latency_plot_has_three_dots_for_each_side(self):
        text = plots.latency_plot(measured()["scenarios"])
        root = ElementTree.fromstring(text)
        circles = root.findall("{http://www.w3.org/2000/svg}circle")
        self.assertEqual(len(circles), 6)

    def test_the_time_line_leaves_gaps_where_nothing_was_answered(self):
        points = [
            TimelinePoint(0.0, 1.0, 10.0),
            TimelinePoint(100.0, 0.0, None),
        ]
        text = plots.timeline_plot({"policy": points}, 50.0, 100.0, 200.0)
        root = ElementTree.fromstring(text)
        lines = root.findall("{http://www.w3.org/2000/svg}polyline")
        counts = [len(line.get("points").split()) for line in lines]
        self.assertEqual(counts, [2, 1])
