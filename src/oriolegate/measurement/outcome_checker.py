"""Checks callers' outcomes against what the emulated leafs recorded."""

import collections
import re

import attrs

from oriolegate.measurement.request_ledger import RequestLedger
from oriolegate.models.answer import Answer
from oriolegate.models.answer import Refusal
from oriolegate.result_codes import RunState
from oriolegate.standins.leaf_counts import LeafCounts
from oriolegate.standins.leaf_documents import DOCUMENTS_PER_SHARD

DOCUMENT_ID = re.compile(r"v(\d+)-s(\d+)-d(\d+)")

Outcome = Answer | Refusal


@attrs.define
class Violations:
    """Counts of broken guarantees; see docs/design/16-measurement.md.

    Attributes:
        cold_over_limit: Crashes of leafs because of too many queries while
            cold.
        connections_over_limit: Connections that leafs rejected at their limit.
        cut: Requests without an outcome.
        doubled: Answers with a duplicate document, and duplicate runs of
            idempotency keys.
        lost: Answers that lack documents of shards reported as answered.
        false_not_run: Refusals as not run although a leaf began to run the
            request.
        mixed_snapshots: Answers with documents of an index version other than
            the one that the answer states.
        untrue_coverage: Answers whose coverage contradicts their documents or
            the record of the leafs.
    """

    cold_over_limit: int = 0
    connections_over_limit: int = 0
    cut: int = 0
    doubled: int = 0
    lost: int = 0
    false_not_run: int = 0
    mixed_snapshots: int = 0
    untrue_coverage: int = 0


@attrs.define
class SentRequest:
    """One request of the load generator and its outcome.

    Attributes:
        request_id: Unique across all VMs; also the request's body.
        sent_ms: Time of sending.
        measured: Whether the request counts for latency, coverage and goodput.
        outcome: Answer or refusal; None if the request got neither.
        done_ms: Time of the outcome; 0 if there is none.
    """

    request_id: str
    sent_ms: float
    measured: bool
    outcome: Outcome | None = None
    done_ms: float = 0.0


@attrs.define
class OutcomeChecker:
    """Compares outcomes with the record of the emulated leafs.

    Attributes:
        ledger: Record of the leafs.
        shards_of_version: Number of shards of each index version that was
            ever published.
        violations: Violations found so far.
    """

    ledger: RequestLedger
    shards_of_version: dict[int, int]
    violations: Violations = attrs.field(factory=Violations)

    def check(self, sent: SentRequest, keyed: bool = False) -> float:
        """Count the violations of one request at the end of a run.

        Args:
            sent: The request and its outcome.
            keyed: Whether the request has an idempotency key and so needs one
                shard only.

        Returns:
            Fraction of the shards whose documents are all in the answer; 0
            without an answer.
        """
        match sent.outcome:
            case None:
                self.violations.cut += 1
            case Refusal(run_state=RunState.NOT_RUN):
                if self.ledger.begun_shards.get(sent.request_id):
                    self.violations.false_not_run += 1
            case Answer() as answer:
                return self._check_answer(answer, sent.request_id, keyed)
        return 0.0

    def _check_answer(
        self, answer: Answer, request_id: str, keyed: bool
    ) -> float:
        violations = self.violations
        documents = [_parse_id(result["id"]) for result in answer.results]
        if len(set(documents)) < len(documents):
            violations.doubled += 1
        versions = {version for version, _, _ in documents}
        if versions - {answer.index_version}:
            violations.mixed_snapshots += 1
        per_shard = collections.Counter(shard for _, shard, _ in set(documents))
        missing = {row.shard for row in answer.coverage.missing}
        complete = {s for s, n in per_shard.items() if n >= DOCUMENTS_PER_SHARD}
        total = self.shards_of_version[answer.index_version]
        answered = set(range(total)) - missing
        if keyed:
            total = 1
            answered = set(per_shard)
        if (
            answered - complete
            or len(complete) < answer.coverage.shards_answered
        ):
            violations.lost += 1
        if not self._is_coverage_true(
            answer, request_id, set(per_shard), total
        ):
            violations.untrue_coverage += 1
        return len(complete) / total

    def _is_coverage_true(
        self, answer: Answer, request_id: str, present: set[int], total: int
    ) -> bool:
        coverage = answer.coverage
        ran = self.ledger.completed_runs.get(request_id, set())
        ran_shards = {s for v, s in ran if v == answer.index_version}
        missing = {row.shard for row in coverage.missing}
        return (
            coverage.shards_total == total
            and coverage.shards_answered == len(present)
            and coverage.shards_answered + len(missing) == total
            and not present & missing
            and present <= ran_shards
        )

    def add_leaf(self, counts: LeafCounts) -> None:
        """Add the violations that a leaf counted."""
        violations = self.violations
        violations.cold_over_limit += counts.cold_over_limit
        violations.connections_over_limit += counts.connections_over_limit

    def add_doubled_runs(self) -> None:
        """Add the duplicate runs of idempotency keys."""
        self.violations.doubled += self.ledger.doubled_runs


def _parse_id(text: str) -> tuple[int, int, int]:
    match = DOCUMENT_ID.fullmatch(text)
    if match is None:
        return (-1, -1, -1)
    version, shard, number = match.groups()
    return int(version), int(shard), int(number)
