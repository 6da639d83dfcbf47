"""Writes one log line for each request, and counts it."""

from typing import Any

from oriolegate import structured_log
from oriolegate.exchange.exchange import Exchange
from oriolegate.exchange.messages import AnswerGathered
from oriolegate.exchange.messages import CallerCall
from oriolegate.exchange.messages import Refuse
from oriolegate.exchange.messages import RelayAnswer
from oriolegate.exchange.messages import Reply
from oriolegate.metrics import MetricsRegistry
from oriolegate.runtime.site_sinks import ConfigurationSink

STATUS_REQUEST_TIMEOUT = 408

log = structured_log.get_logger("requests")


class RequestLog:
    """Tells what became of requests and what decided it."""

    def __init__(
        self, configuration: ConfigurationSink, metrics: MetricsRegistry
    ) -> None:
        self.configuration = configuration
        self.metrics = metrics

    def refused(self, call: CallerCall, refusal: Refuse) -> None:
        """Take that a request was refused before any leaf was chosen."""
        table = self.configuration.table
        log.bind(
            id=call.attempt_id,
            status=refusal.status,
            reason=refusal.reason,
            retry_after_ms=refusal.retry_after_ms,
            host=call.host,
            path=call.path,
            version=table.configuration.version if table else None,
        ).info("request refused")
        self._count(refusal.status)

    def ended(self, now_ms: float, exchange: Exchange, reply: Reply) -> None:
        """Take that a request got its answer, or its caller left."""
        took_ms = now_ms - exchange.deadlines.arrived_ms
        fields: dict[str, Any] = {
            "id": exchange.call.attempt_id,
            "route": exchange.route.name,
            "version": exchange.version,
            "version_age_ms": round(now_ms - self.configuration.in_force_at_ms),
            "took_ms": round(took_ms, 1),
            "left_ms": exchange.call.time_left_ms,
            "sends": exchange.send_count,
        }
        match reply:
            case AnswerGathered(_, signatures, missing):
                status, text = 200, "gathered"
                fields |= {"parts": len(signatures), "missing": missing}
            case RelayAnswer(answer):
                status, text = answer.status, "passed on"
            case Refuse(status, reason, retry_after_ms):
                text = "refused" if status else "caller gone"
                fields |= {"reason": reason, "retry_after_ms": retry_after_ms}
        fields["status"] = status
        if exchange.decisions:
            fields["decisions"] = [
                [d.after_ms, d.kind, d.service, d.leaf, d.detail]
                for d in exchange.decisions
            ]
            self._count_decisions(exchange)
        log.bind(**fields).info(f"request {text}")
        self._count(status)
        self.metrics.latency(
            "oriolegate_request_ms", route=exchange.route.name
        ).record(took_ms)

    def _count_decisions(self, exchange: Exchange) -> None:
        for decision in exchange.decisions:
            self.metrics.counter(
                "oriolegate_decisions_total", kind=decision.kind
            ).add()

    def header_too_late(self, limit_ms: float) -> None:
        """Take that a connection was ended whose header took too long."""
        log.bind(limit_ms=round(limit_ms)).info("header took too long")
        self._count(STATUS_REQUEST_TIMEOUT)

    def _count(self, status: int) -> None:
        self.metrics.counter(
            "oriolegate_requests_total", status=str(status)
        ).add()
