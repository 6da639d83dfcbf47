"""Probes arbitrary leafs on new connections."""

import random
from typing import Any

from oriolegate.clock import Clock
from oriolegate.network.leaf_client import LeafClient
from oriolegate.network.leaf_client import OpenSend
from oriolegate.placement.leaf_directory import LeafDirectory
from oriolegate.placement.leaf_record import LeafRecord
from oriolegate.platform.leaf_protocol import HealthReport
from oriolegate.platform.leaf_protocol import NoAnswer
from oriolegate.runtime import leaf_checker

MS_PER_S = 1_000.0
# Probes are started together, at most so many in an interval.
PROBED_LEAFS = 3
INTERVAL_MS = 200.0


class LeafProber:
    """Probes leafs that no request has found unreachable.

    Attributes:
        next_at_ms: When probes may be started next.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: LeafClient,
        directory: LeafDirectory,
        rng: random.Random,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.client = client
        self.directory = directory
        self.rng = rng
        self.next_at_ms = float("-inf")

    def probe(self) -> None:
        """Probe some leafs, unless others were just probed."""
        now_ms = self.clock.now_ms()
        if now_ms < self.next_at_ms:
            return
        self.next_at_ms = now_ms + INTERVAL_MS
        records = [
            record
            for record in self.directory.leafs.values()
            if now_ms >= record.quiet_until_ms
        ]
        trusted = [record for record in records if not record.suspect]
        chosen = trusted or records
        count = min(PROBED_LEAFS, len(chosen))
        for record in self.rng.sample(chosen, count):
            self._probe_leaf(now_ms, record)

    def _probe_leaf(self, now_ms: float, record: LeafRecord) -> None:
        record.record_send(now_ms)
        open_probe: OpenSend | None = None

        def on_report(report: HealthReport | NoAnswer) -> None:
            if timer.active():
                timer.cancel()
            if isinstance(report, NoAnswer):
                self.client.contact.record_failed_probe()

        def on_timeout() -> None:
            if open_probe is not None:
                self.client.abandon(open_probe)
            self.client.contact.record_failed_probe()

        timer = self.reactor.callLater(
            leaf_checker.CHECK_TIMEOUT_MS / MS_PER_S, on_timeout
        )
        open_probe = self.client.check_health(
            record.entry,
            self.directory.check_path(record.entry.service),
            on_report,
            is_new_connection=True,
        )
