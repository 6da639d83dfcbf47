"""Logs one line per request and counts requests by status."""

from typing import Any

from oriolegate import structured_log
from oriolegate.crashes.crash_ledger import Suspicion
from oriolegate.exchange.exchange import Exchange
from oriolegate.exchange.messages import AnswerGathered
from oriolegate.exchange.messages import CallerCall
from oriolegate.exchange.messages import Refuse
from oriolegate.exchange.messages import RelayAnswer
from oriolegate.exchange.messages import Reply
from oriolegate.metrics import MetricsRegistry
from oriolegate.runtime.request_forwarder import OpenForward
from oriolegate.runtime.site_sinks import ConfigurationSink

STATUS_REQUEST_TIMEOUT = 408

log = structured_log.get_logger("requests")


class RequestLog:
    """Logs the outcome of requests and the decisions behind it."""

    def __init__(
        self, configuration: ConfigurationSink, metrics: MetricsRegistry
    ) -> None:
        self.configuration = configuration
        self.metrics = metrics

    def log_refused(self, call: CallerCall, refusal: Refuse) -> None:
        """Log a request that was refused before any leaf was chosen."""
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

    def log_incomplete(self, attempt_id: str, status: int, reason: str) -> None:
        """Log a request that was refused before it was complete."""
        log.bind(id=attempt_id, status=status, reason=reason).info(
            "incomplete request refused; connection closed"
        )
        self._count(status)

    def log_suspicious(self, call: CallerCall, suspicion: Suspicion) -> None:
        """Log a request that is sent although leafs crashed during it."""
        log.bind(
            id=call.attempt_id,
            fingerprint=f"{suspicion.fingerprint:016x}",
            reports=suspicion.reports,
            attempts=suspicion.attempts,
            is_harmless=suspicion.is_harmless,
        ).info("request with crash reports accepted")

    def log_ended(
        self,
        now_ms: float,
        exchange: Exchange,
        reply: Reply,
        caller_vm: str | None = None,
    ) -> None:
        """Log a request that was replied to or whose caller disconnected.

        Args:
            now_ms: Current time.
            exchange: State of the request.
            reply: The reply.
            caller_vm: VM that forwarded the request, or None if it came from a
                caller.
        """
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
        if caller_vm is not None:
            fields["caller_vm"] = caller_vm
        match reply:
            case AnswerGathered(_, signatures, missing):
                status, text = 200, "answered with merged parts"
                fields |= {"parts": len(signatures), "missing": missing}
            case RelayAnswer(answer):
                status, text = answer.status, "passed on"
            case Refuse(status, reason, retry_after_ms):
                text = "refused" if status else "cancelled; caller disconnected"
                fields |= {"reason": reason, "retry_after_ms": retry_after_ms}
        fields["status"] = status
        fields |= self._decision_fields(exchange)
        log.bind(**fields).info(f"request {text}")
        self._count(status)
        self.metrics.latency(
            "oriolegate_request_ms", route=exchange.route.name
        ).record(took_ms)

    def log_handed_over(
        self, now_ms: float, exchange: Exchange, refusal: Refuse
    ) -> None:
        """Log a request that is forwarded since its leafs are unreachable."""
        log.bind(
            id=exchange.call.attempt_id,
            route=exchange.route.name,
            took_ms=round(now_ms - exchange.deadlines.arrived_ms, 1),
            sends=exchange.send_count,
            reason=refusal.reason,
            **self._decision_fields(exchange),
        ).info("leafs of request unreachable; forwarding it to another VM")

    def _decision_fields(self, exchange: Exchange) -> dict[str, Any]:
        if not exchange.decisions:
            return {}
        self._count_decisions(exchange)
        return {
            "decisions": [
                [d.after_ms, d.kind, d.service, d.leaf, d.detail]
                for d in exchange.decisions
            ]
        }

    def _count_decisions(self, exchange: Exchange) -> None:
        for decision in exchange.decisions:
            self.metrics.counter(
                "oriolegate_decisions_total", kind=decision.kind
            ).add()

    def log_forwarded(
        self, now_ms: float, open_forward: OpenForward, status: int | None
    ) -> None:
        """Log a request that other VMs were asked to serve.

        Args:
            now_ms: Current time.
            open_forward: The request.
            status: Status of the reply, or None if no VM served it.
        """
        call = open_forward.forwarded.call
        route = open_forward.route.name
        took_ms = now_ms - open_forward.arrived_ms
        log.bind(
            id=call.attempt_id,
            route=route,
            took_ms=round(took_ms, 1),
            left_ms=call.time_left_ms,
            vms=open_forward.tried,
            used_attempts=open_forward.attempts.used,
            has_arrived=open_forward.has_arrived,
            status=status,
        ).info("request forwarded")
        if status is None:
            return
        self._count(status)
        self.metrics.latency("oriolegate_request_ms", route=route).record(
            took_ms
        )

    def log_forward_cancelled(
        self, now_ms: float, open_forward: OpenForward
    ) -> None:
        """Log a forwarded request whose caller disconnected."""
        log.bind(
            id=open_forward.forwarded.call.attempt_id,
            route=open_forward.route.name,
            took_ms=round(now_ms - open_forward.arrived_ms, 1),
            vms=[*open_forward.tried, open_forward.plan.vm],
        ).info("forwarded request cancelled; caller disconnected")

    def log_header_timeout(self, limit_ms: float) -> None:
        """Log a connection that was closed due to the header timeout."""
        log.bind(limit_ms=round(limit_ms)).info(
            "request header timed out; connection closed"
        )
        self._count(STATUS_REQUEST_TIMEOUT)

    def _count(self, status: int) -> None:
        self.metrics.counter(
            "oriolegate_requests_total", status=str(status)
        ).add()
