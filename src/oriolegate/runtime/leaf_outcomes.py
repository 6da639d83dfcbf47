"""Records what the sends of requests show of leafs, for the next requests."""

from collections.abc import Callable

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.crashes import crash_ledger
from oriolegate.crashes.crash_ledger import CrashLedger
from oriolegate.crashes.crash_ledger import LostRequest
from oriolegate.exchange import part_sender
from oriolegate.exchange.exchange import Exchange
from oriolegate.exchange.messages import CallerCall
from oriolegate.exchange.messages import SendOutcome
from oriolegate.models.site import LeafEntry
from oriolegate.network.leaf_client import LeafClient
from oriolegate.network.leaf_client import OpenSend
from oriolegate.placement.leaf_directory import LeafDirectory
from oriolegate.platform.leaf_protocol import NoAnswer
from oriolegate.runtime.leaf_checker import LeafChecker

log = structured_log.get_logger("requests")


def _lost_request(call: CallerCall) -> LostRequest:
    fingerprint = crash_ledger.call_fingerprint(call)
    return LostRequest(fingerprint, call.attempt_id)


class LeafOutcomes:
    """Suspects leafs that gave no answer, and requests that may crash them.

    Attributes:
        on_reports_withdrawn: Called with the names of crash reports about a
            request that has succeeded.
    """

    def __init__(
        self,
        clock: Clock,
        client: LeafClient,
        directory: LeafDirectory,
        checker: LeafChecker,
        crashes: CrashLedger,
    ) -> None:
        self.clock = clock
        self.client = client
        self.directory = directory
        self.checker = checker
        self.crashes = crashes
        self.on_reports_withdrawn: Callable[[tuple[str, ...]], None] = (
            lambda names: None
        )

    def record_success(self, exchange: Exchange, leaf: LeafEntry) -> None:
        """Withdraw the crash reports about a request that has succeeded."""
        names = self.crashes.record_success(exchange.call)
        if names:
            log.bind(
                id=exchange.call.attempt_id,
                leaf=leaf.leaf_id,
                reports=len(names),
            ).info("request with crash reports succeeded; reports withdrawn")
        self.on_reports_withdrawn(names)

    def record_abandoned(self, exchange: Exchange, open_send: OpenSend) -> None:
        """Record that a leaf may have crashed, or may yet crash, unnoticed."""
        if exchange.answered_count or not open_send.has_arrived:
            return
        now_ms = self.clock.now_ms()
        self.crashes.record_abandoned_request(
            now_ms, open_send.leaf_id, _lost_request(exchange.call)
        )
        record = self.directory.leafs.get(open_send.leaf_id)
        waited_ms = now_ms - open_send.started_ms
        if record is not None and waited_ms > part_sender.UNRESPONSIVE_MS:
            self.checker.check_liveness(record)

    def record_no_answer(
        self, exchange: Exchange, leaf: LeafEntry, result: NoAnswer
    ) -> None:
        """Update the record of a leaf after a send without an answer."""
        leaf_id = leaf.leaf_id
        record = self.directory.leafs.get(leaf_id)
        if record is None:
            return
        if result.outcome is SendOutcome.MAY_HAVE_RUN:
            self._record_suspect_call(exchange, leaf_id)
        bound_log = log.bind(
            leaf=leaf_id, service=leaf.service, id=exchange.call.attempt_id
        )
        if result.connection_rejected:
            bound_log.info(
                "leaf rejected a connection; checking whether it is alive"
            )
            record.record_rejection(self.clock.now_ms())
            self.checker.check_liveness_later(record)
        elif result.outcome in (SendOutcome.UNSENT, SendOutcome.MAY_HAVE_RUN):
            self.checker.suspect(record, result.detail)
        elif result.outcome is SendOutcome.WRONG_LEAF:
            bound_log.info("another leaf answers at this address; leaf removed")
            self.directory.on_address_taken(leaf_id)
            self.client.drop(leaf_id)

    def _record_suspect_call(self, exchange: Exchange, leaf_id: str) -> None:
        """Record a request that may have crashed a leaf."""
        if exchange.answered_count:
            # Another leaf ran a part of the request without crashing.
            return
        self.crashes.record_lost_request(leaf_id, _lost_request(exchange.call))
