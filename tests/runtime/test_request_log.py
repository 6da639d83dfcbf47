"""Tests of the log line and the counters of each request."""

import unittest

import orjson
from twisted import logger as twisted_logger

from oriolegate import metrics as metrics_module
from oriolegate import structured_log
from oriolegate.exchange.messages import Refuse
from oriolegate.exchange.messages import SendOutcome
from oriolegate.metrics import MetricsRegistry
from oriolegate.runtime.request_log import RequestLog
from tests import site_builders as build


class EmptyConfiguration:
    """Stands in for a sink without a configuration."""

    table = None
    in_force_at_ms = -100.0


class RequestLogTest(unittest.TestCase):
    def setUp(self):
        self.events = []
        publisher = twisted_logger.globalLogPublisher
        publisher.addObserver(self.events.append)
        self.addCleanup(publisher.removeObserver, self.events.append)
        self.metrics = MetricsRegistry()
        self.log = RequestLog(EmptyConfiguration(), self.metrics)

    def line(self):
        (event,) = [e for e in self.events if structured_log.FIELDS_KEY in e]
        fields = event[structured_log.FIELDS_KEY]
        return orjson.loads(orjson.dumps(fields))

    def exported(self):
        return metrics_module.render_text(self.metrics.snapshot())

    def test_an_early_refusal_logs_its_reason_and_retry_after(self):
        self.log.log_refused(
            build.call(), Refuse(503, "no configuration yet", 9.0)
        )
        line = self.line()
        self.assertEqual(line["id"], "a1")
        self.assertEqual(line["reason"], "no configuration yet")
        self.assertEqual(line["retry_after_ms"], 9.0)
        self.assertIsNone(line["version"])
        self.assertIn(
            'oriolegate_requests_total{status="503"} 1', self.exported()
        )

    def test_a_request_refused_before_it_was_complete_is_logged(self):
        self.log.log_incomplete("a7", 413, "body far beyond its limit")
        line = self.line()
        self.assertEqual(line["id"], "a7")
        self.assertEqual(line["status"], 413)
        self.assertEqual(line["reason"], "body far beyond its limit")
        self.assertIn(
            'oriolegate_requests_total{status="413"} 1', self.exported()
        )

    def test_a_request_logs_its_decisions(self):
        exchange_context = build.exchange_context([build.leaf("near")])
        exchange = build.exchange(build.route(), exchange_context)
        exchange.start(0.0)
        exchange.on_failure(5.0, 1, SendOutcome.MAY_HAVE_RUN, "reset")
        self.log.log_ended(7.0, exchange, exchange.reply)
        line = self.line()
        self.assertEqual((line["status"], line["sends"]), (502, 1))
        self.assertEqual(line["version_age_ms"], 107)
        kinds = [row[1] for row in line["decisions"]]
        self.assertEqual(kinds, ["send may have run", "no leaf"])
        self.assertIn(
            'oriolegate_decisions_total{kind="send may have run"} 1',
            self.exported(),
        )

    def test_a_header_timeout_is_logged_and_counted(self):
        self.log.log_header_timeout(300.0)
        self.assertEqual(self.line()["limit_ms"], 300)
        self.assertIn('status="408"', self.exported())
