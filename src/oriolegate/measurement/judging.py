"""Judges outcomes by what the far side recorded."""

import collections
import re

import attrs

from oriolegate.measurement.far_side import FarSide
from oriolegate.models.answer import Answer
from oriolegate.models.answer import Refusal
from oriolegate.result_codes import RunState
from oriolegate.standins.leaf_counts import LeafCounts
from oriolegate.standins.leaf_documents import DOCUMENTS_PER_SHARD

DOCUMENT_ID = re.compile(r"v(\d+)-s(\d+)-d(\d+)")

Outcome = Answer | Refusal


@attrs.define
class Violations:
    """Counts of what must never happen; see docs/design/16-measurement.md."""

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
    """One request of the load generator and what came of it.

    Attributes:
        request_id: Unique over all VMs; also the body.
        sent_ms: When it was sent.
        measured: Whether it counts for latency, coverage and goodput.
        outcome: What came of it, or None.
        done_ms: When.
    """

    request_id: str
    sent_ms: float
    measured: bool
    outcome: Outcome | None = None
    done_ms: float = 0.0


@attrs.define
class Judge:
    """Compares outcomes with the far side's record.

    Attributes:
        far_side: The record.
        shards_of_version: Shards of each index version ever published.
        violations: What was found.
    """

    far_side: FarSide
    shards_of_version: dict[int, int]
    violations: Violations = attrs.field(factory=Violations)

    def judge(self, sent: SentRequest, keyed: bool = False) -> float:
        """Judge one request at the end of a run.

        Args:
            sent: The request.
            keyed: Whether it asks for one shard only.

        Returns:
            The coverage of its answer by the documents in it, 0 to 1.
        """
        match sent.outcome:
            case None:
                self.violations.cut += 1
            case Refusal(run_state=RunState.NOT_RUN):
                if self.far_side.began.get(sent.request_id):
                    self.violations.false_not_run += 1
            case Answer() as answer:
                return self._judge_answer(answer, sent.request_id, keyed)
        return 0.0

    def _judge_answer(
        self, answer: Answer, request_id: str, keyed: bool
    ) -> float:
        found = self.violations
        documents = [_read_id(result["id"]) for result in answer.results]
        if len(set(documents)) < len(documents):
            found.doubled += 1
        versions = {version for version, _, _ in documents}
        if versions - {answer.index_version}:
            found.mixed_snapshots += 1
        per_shard = collections.Counter(shard for _, shard, _ in set(documents))
        missing = {row.shard for row in answer.coverage.missing}
        whole = {s for s, n in per_shard.items() if n >= DOCUMENTS_PER_SHARD}
        wanted = self.shards_of_version[answer.index_version]
        answered = set(range(wanted)) - missing
        if keyed:
            wanted = 1
            answered = set(per_shard)
        if answered - whole or len(whole) < answer.coverage.shards_answered:
            found.lost += 1
        if not self._is_true(answer, request_id, set(per_shard), wanted):
            found.untrue_coverage += 1
        return len(whole) / wanted

    def _is_true(
        self, answer: Answer, request_id: str, present: set[int], wanted: int
    ) -> bool:
        coverage = answer.coverage
        ran = self.far_side.ran.get(request_id, set())
        run_here = {s for v, s in ran if v == answer.index_version}
        missing = {row.shard for row in coverage.missing}
        return (
            coverage.shards_total == wanted
            and coverage.shards_answered == len(present)
            and coverage.shards_answered + len(missing) == wanted
            and not present & missing
            and present <= run_here
        )

    def add_leaf(self, counts: LeafCounts) -> None:
        """Add what a leaf counted."""
        found = self.violations
        found.cold_over_limit += counts.cold_over_limit
        found.connections_over_limit += counts.connections_over_limit

    def add_doubled_runs(self) -> None:
        """Add runs of idempotency keys that should not have been."""
        self.violations.doubled += self.far_side.doubled_runs


def _read_id(text: str) -> tuple[int, int, int]:
    found = DOCUMENT_ID.fullmatch(text)
    if found is None:
        return (-1, -1, -1)
    version, shard, number = found.groups()
    return int(version), int(shard), int(number)
