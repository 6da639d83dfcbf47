"""Tests of rendering the timeline as text, JSON and SVG."""

import json
import pathlib
import unittest
from xml.etree import ElementTree

import attrs

from oriolegate.exceptions import PeerMessageError
from oriolegate.timeline import detail_fields
from oriolegate.timeline import events_json
from oriolegate.timeline import merge
from oriolegate.timeline import spans
from oriolegate.timeline import svg
from oriolegate.timeline import text_output
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind
from tests.timeline import session

GOLDEN = pathlib.Path(__file__).parent / "golden"


class GoldenTest(unittest.TestCase):
    maxDiff = None

    def test_text_matches_the_golden_file(self):
        text = text_output.render_text(session.recorded_request())
        self.assertEqual(text, (GOLDEN / "request.txt").read_text())

    def test_svg_matches_the_golden_file(self):
        picture = svg.render_svg(session.recorded_request())
        self.assertEqual(picture, (GOLDEN / "request.svg").read_text())


class TextTest(unittest.TestCase):
    def test_events_survive_a_round_trip_through_json(self):
        timeline = session.recorded_request()
        plain = json.loads(json.dumps(text_output.to_plain(timeline)))
        events, unknown = events_json.parse_events(plain["events"])
        self.assertEqual(unknown, 0)
        self.assertEqual(merge.merge(events), timeline)

    def test_control_characters_do_not_reach_the_terminal(self):
        buffer = EventBuffer("entry-1", 0.0)
        buffer.record(1.0, EventKind.REQUEST_ARRIVED, "\x1b[2J", "a\nb")
        text = text_output.render_text(merge.merge(buffer.events()))
        self.assertNotIn("\x1b", text)
        self.assertEqual(len(text.splitlines()), 2)

    def test_a_timeline_without_events_is_reported_as_text(self):
        self.assertEqual(
            text_output.render_text(merge.merge([])), "# no events\n"
        )

    def test_details_beyond_the_named_fields_are_shown(self):
        buffer = EventBuffer("entry-1", 0.0)
        buffer.record(1.0, EventKind.FORWARDED, "r", "entry-2", 9)
        named = detail_fields.named_detail(next(buffer.events()))
        self.assertEqual(named, {"to": "entry-2", "extra_1": 9})

    def test_every_kind_has_named_fields(self):
        self.assertEqual(set(detail_fields.DETAIL_FIELDS), set(EventKind))


class EventsJsonTest(unittest.TestCase):
    def test_events_of_unknown_kinds_are_counted_and_others_kept(self):
        event = next(EventBufferFixture.one_event().events())
        plain = events_json.to_plain(event)
        items = [plain, plain | {"kind": "OF_A_LATER_VERSION"}]
        self.assertEqual(events_json.parse_events(items), ([event], 1))

    def test_an_invalid_event_is_an_error(self):
        for item in ({}, [], 3, {"kind": "STARTED", "sequence": "x"}):
            with self.assertRaises(PeerMessageError):
                events_json.from_plain(item)


class EventBufferFixture:
    @staticmethod
    def one_event():
        buffer = EventBuffer("entry-1", 0.0)
        buffer.record(1.0, EventKind.STARTED, "", 5)
        return buffer


class SvgTest(unittest.TestCase):
    def test_a_span_lasts_from_the_sending_to_its_end(self):
        all_spans = spans.find_spans(session.recorded_request())
        kinds_and_ends = {
            (span.shard, span.attempt): (span.kind.value, span.end.value)
            for span in all_spans
        }
        self.assertEqual(
            kinds_and_ends,
            {
                ("0", "0"): ("first", "answered"),
                ("1", "0"): ("first", "cancelled"),
                ("2", "0"): ("first", "not run"),
                ("3", "0"): ("first", "failed"),
                ("2", "1"): ("retry", "answered"),
                ("1", "1"): ("hedge", "answered"),
            },
        )

    def test_a_sub_request_without_an_end_stays_open(self):
        timeline = session.recorded_request()
        cut = attrs.evolve(timeline, events=timeline.events[:6])
        self.assertTrue(
            all(
                span.end is spans.SpanEnd.OPEN for span in spans.find_spans(cut)
            )
        )

    def test_overlapping_spans_are_drawn_in_separate_rows(self):
        buffer = EventBuffer("entry-1", 0.0)
        for shard, start_ms in enumerate((0.0, 5.0, 10.0, 12.0)):
            buffer.record(
                start_ms, EventKind.SUB_REQUEST_SENT, "r", shard, 0, "l"
            )
            if shard:
                buffer.record(
                    start_ms + 2.0, EventKind.SUB_ANSWER, "r", shard, 0, "l"
                )
        all_spans = spans.find_spans(merge.merge(buffer.events()))
        rows = [
            [span.shard for span in row] for row in spans.pack_rows(all_spans)
        ]
        self.assertEqual(rows, [["0"], ["1", "2", "3"]])

    def test_names_are_escaped_in_svg(self):
        buffer = EventBuffer("a<b&c", 0.0)
        buffer.record(1.0, EventKind.SUB_REQUEST_SENT, "<r\x00>", 0, 0, "<l>")
        picture = svg.render_svg(merge.merge(buffer.events()))
        texts = [
            element.text for element in ElementTree.fromstring(picture).iter()
        ]
        self.assertIn("a<b&c", texts)
        self.assertIn("<l>", texts)

    def test_a_timeline_without_events_is_drawn_as_svg(self):
        picture = svg.render_svg(merge.merge([]))
        self.assertIn("no events", picture)

    def test_the_number_of_drawn_rows_is_bounded(self):
        buffer = EventBuffer("entry-1", 0.0)
        for shard in range(svg.MAX_LEAF_ROWS + 3):
            buffer.record(
                1.0, EventKind.SUB_REQUEST_SENT, "r", shard, 0, f"l-{shard}"
            )
        picture = svg.render_svg(merge.merge(buffer.events()))
        self.assertIn("3 more rows are not drawn", picture)
