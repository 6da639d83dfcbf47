"""Record the outcomes of trials, and run copies of requests for mirrors.

The outcomes of both sides of a trial, the trial side and the control side, go
into one `TrialReport`. A copy is started after its request, with the lowest
priority; the copy's outcome is only recorded in the report. A mirror is listed
in the report as `mirror NAME`: its copies are the trial side, the original
requests are the control side.
"""

from collections.abc import Callable
import itertools

import attrs
from twisted.internet import defer

from oriolegate.clock import Clock
from oriolegate.coordinator.messages import QueryArrived
from oriolegate.metrics import MetricsRegistry
from oriolegate.models.answer import Answer
from oriolegate.models.answer import Outcome
from oriolegate.models.answer import Refusal
from oriolegate.models.policy import Priority
from oriolegate.models.request import CallerRequest
from oriolegate.result_codes import ResultCode
from oriolegate.rules.decision import MirrorTarget
from oriolegate.rules.decision import RoutingDecision
from oriolegate.rules.model import MirrorRule
from oriolegate.rules.model import RuleSet
from oriolegate.rules.model import TrialRule
from oriolegate.rules.trial_report import TrialReport
from oriolegate.runtime.query_runner import QueryRunner

MAX_COPIES = 8  # mirrored copies that run at the same time


def _mirror_name(name: str) -> str:
    """Return the report's name of a mirror, distinct from that of a trial."""
    return f"mirror {name}"


def _is_from_other_index(side: RoutingDecision, answer: Answer) -> bool:
    """Return whether an answer is from another index than was requested.

    A query for an index that does not exist runs on the current index, so
    its answer is no evidence about the index under trial.
    """
    wanted = side.index_version
    return wanted is not None and wanted != answer.index_version


class TrialRunner:
    """Records both sides of trials and mirrors in one process.

    Attributes:
        report: Outcomes of requests and copies.
        copies: Request ids of the running copies.
        max_copies: Maximum of running copies; further copies are skipped.
    """

    def __init__(
        self,
        runner: QueryRunner,
        clock: Clock,
        metrics: MetricsRegistry,
        max_copies: int = MAX_COPIES,
    ) -> None:
        self.runner = runner
        self.clock = clock
        self.metrics = metrics
        self.max_copies = max_copies
        self.report = TrialReport()
        self.copies: set[str] = set()
        self.copy_numbers = itertools.count(1)

    def rules_changed(self, rule_set: RuleSet) -> None:
        """Drop the outcomes of trials and mirrors that were removed."""
        names_to_keep = [
            rule.name for rule in rule_set.rules if isinstance(rule, TrialRule)
        ]
        names_to_keep += [
            _mirror_name(rule.name)
            for rule in rule_set.rules
            if isinstance(rule, MirrorRule)
        ]
        self.report.keep_only(names_to_keep)

    def record_request(
        self,
        request: CallerRequest,
        decision: RoutingDecision,
        outcome: "defer.Deferred[Outcome]",
    ) -> "defer.Deferred[Outcome]":
        """Record the outcome of a started request, and mirror it if required.

        Returns:
            The outcome, unchanged.
        """
        mirror = decision.mirror
        sides = [decision] if decision.trial or decision.trial_control else []
        if mirror is not None and self._copy(request, decision, mirror):
            name = _mirror_name(mirror.mirror)
            sides.append(attrs.evolve(decision, trial=None, trial_control=name))
        if not sides:
            return outcome
        started_ms = self.clock.now_ms()

        def on_ended(result: Outcome) -> Outcome:
            for side in sides:
                self._record(side, result, started_ms)
            return result

        return outcome.addCallback(on_ended)

    def _copy(
        self,
        request: CallerRequest,
        decision: RoutingDecision,
        mirror: MirrorTarget,
    ) -> bool:
        """Run a copy unless capacity is short; return whether a copy runs."""
        is_full = len(self.copies) >= self.max_copies
        if is_full or self.runner.has_waiting(decision.service):
            self.metrics.counter("mirror_copies_skipped").add()
            return False
        self.metrics.counter("mirror_copies").add()
        copy = attrs.evolve(
            request,
            request_id=f"{request.request_id}-copy-{next(self.copy_numbers)}",
            priority=Priority.BULK,
        )
        self.copies.add(copy.request_id)
        side = attrs.evolve(
            decision,
            index_version=mirror.index_version,
            trial=_mirror_name(mirror.mirror),
            trial_control=None,
        )
        self.runner.receivers[copy.request_id] = self._receiver(copy, side)
        self.runner.submit_query(
            QueryArrived(
                copy,
                decision.service,
                mirror.policy,
                mirror.index_version,
                mirror.preferred_upstream,
                is_copy=True,
            )
        )
        return True

    def _receiver(
        self, copy: CallerRequest, side: RoutingDecision
    ) -> Callable[[Answer | Refusal], None]:
        started_ms = self.clock.now_ms()

        def receive(outcome: Answer | Refusal) -> None:
            self.copies.discard(copy.request_id)
            self._record(side, outcome, started_ms)

        return receive

    def _record(
        self, side: RoutingDecision, outcome: Outcome, started_ms: float
    ) -> None:
        if (
            isinstance(outcome, Refusal)
            and outcome.code is ResultCode.CALLER_GONE
        ):
            # A caller that disconnects is no evidence about either side.
            return
        if not isinstance(outcome, Answer) or _is_from_other_index(
            side, outcome
        ):
            self.report.record_error(side)
            return
        self.report.record_answer(
            side,
            self.clock.now_ms() - started_ms,
            outcome.coverage.shards_total,
            outcome.coverage.shards_answered,
        )
