"""Connections that others open to this process, within its limits."""

import collections
from collections.abc import Callable
import functools
from typing import Any

from oriolegate.clock import Clock
from oriolegate.connections.connection import Connection
from oriolegate.connections.connection import RefusalReason
from oriolegate.connections.connection_budget import ConnectionBudget
from oriolegate.connections.machine_share import ConnectionGroup
from oriolegate.connections.work_queue import Account
from oriolegate.connections.work_queue import WorkQueue
from oriolegate.metrics import MetricsRegistry
from oriolegate.models.machine import MachineLimits

# Interval of checking how much of the responses clients have taken.
UNSENT_CHECK_S = 0.25
# A client that has just connected sends its first request within this time.
FIRST_REQUEST_MS = 500.0
# Interval of log lines about refused connections, which are counted meanwhile.
REPORT_INTERVAL_S = 1.0


class ServerConnections:
    """Wires the channels of all servers of a process to its limits.

    Attributes:
        clock: Clock of the process.
        budget: Decides which connections are closed.
        work: Order in which channels use the processor.
        channels: Open channels.
        unsent: Channels whose clients have not taken all responses.
        report: Called with the number of refused connections by group and
            reason, at most once in a while.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        limits: MachineLimits,
        metrics: MetricsRegistry | None = None,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.budget = ConnectionBudget(limits)
        self.budget.on_refused = self._on_refused
        self.work = WorkQueue()
        self.channels: set[Any] = set()
        self.unsent: set[Any] = set()
        self.metrics = metrics
        self.refused: collections.Counter[str] = collections.Counter()
        self.report: Callable[[dict[str, int]], None] = lambda refused: None
        self.turn_timer: Any = None
        self.unsent_timer: Any = None
        self.report_timer: Any = None
        if metrics is not None:
            self._add_gauges(metrics)

    def _add_gauges(self, metrics: MetricsRegistry) -> None:
        for group in ConnectionGroup:
            metrics.gauge(
                "oriolegate_connections",
                functools.partial(self.budget.count, group),
                group=group.value,
            )
            metrics.gauge(
                "oriolegate_connection_bytes",
                functools.partial(self.budget.held_bytes, group),
                group=group.value,
            )

    def set_limits(self, limits: MachineLimits) -> None:
        """Use other limits from now on."""
        self.budget.limits = limits

    def _on_refused(
        self, group: ConnectionGroup, reason: RefusalReason
    ) -> None:
        if self.metrics is not None:
            self.metrics.counter(
                "oriolegate_connections_refused_total",
                group=group.value,
                reason=reason.name.lower(),
            ).add()
        self.refused[f"{group.value}: {reason.value}"] += 1
        if self.report_timer is None:
            self.report_timer = self.reactor.callLater(
                REPORT_INTERVAL_S, self._report
            )

    def _report(self) -> None:
        self.report_timer = None
        refused = dict(self.refused)
        self.refused.clear()
        self.report(refused)

    def open_channels(self, group: ConnectionGroup | None = None) -> list[Any]:
        """Return the open channels of a group, or of all groups."""
        return [
            channel
            for channel in self.channels
            if group in (None, channel.connection.group)
        ]

    def close_idle(self, group: ConnectionGroup | None = None) -> None:
        """Close the connections on which no request is open or on its way.

        Args:
            group: The group whose connections are closed, or None for all.
        """
        first_request_since_ms = self.clock.now_ms() - FIRST_REQUEST_MS
        for channel in self.open_channels(group):
            connection = channel.connection
            if channel.is_idle and (
                connection.has_served
                or connection.moved_ms < first_request_since_ms
            ):
                channel.loseConnection()

    def refuse_incomplete(self, group: ConnectionGroup) -> None:
        """Refuse the requests that have begun and are not complete.

        Args:
            group: The group whose connections are closed.
        """
        for channel in self.open_channels(group):
            channel.refuse_incomplete()

    def start_turn(self) -> None:
        """Let the waiting work be done in the next turn of the event loop."""
        if self.turn_timer is None:
            self.turn_timer = self.reactor.callLater(0.0, self._run_turn)

    def cancel_work(self, account: Account) -> None:
        """Forget the work of a connection that is closed."""
        self.work.cancel(account)
        self._start_waiting()

    def end_pipelined(self, account: Account) -> None:
        """Let another connection begin a pipelined request."""
        self.work.end_pipelined(account)
        self._start_waiting()

    def _start_waiting(self) -> None:
        if self.work.has_work:
            self.start_turn()

    def _run_turn(self) -> None:
        self.turn_timer = None
        self.work.run_turn()
        self._start_waiting()

    def set_data(
        self,
        channel: Any,
        connection: Connection,
        input_bytes: int,
        unsent_bytes: int,
    ) -> None:
        """Set what a channel holds; may close it or others."""
        if unsent_bytes:
            self.unsent.add(channel)
            if self.unsent_timer is None:
                self.unsent_timer = self.reactor.callLater(
                    UNSENT_CHECK_S, self._check_unsent
                )
        else:
            self.unsent.discard(channel)
        self.budget.set_data(
            self.clock.now_ms(), connection, input_bytes, unsent_bytes
        )

    def _check_unsent(self) -> None:
        self.unsent_timer = None
        if self.unsent:
            self.unsent_timer = self.reactor.callLater(
                UNSENT_CHECK_S, self._check_unsent
            )
        for channel in list(self.unsent):
            channel.count_data()
