"""Tests that edits are accepted or refused, also while the store fails."""

import io
import unittest

import attrs
from twisted.internet import task

from oriolegate import logging_setup
from oriolegate.clock import FakeClock
from oriolegate.configuration import effects
from oriolegate.configuration import messages as documents_messages
from oriolegate.configuration.document_gossip import DocumentGossip
from oriolegate.exceptions import CallerInputError
from oriolegate.exceptions import PlatformError
from oriolegate.network.admin import AdminRequest
from oriolegate.rules.stored_rules import StoredRules
from oriolegate.runtime import rules_service
from oriolegate.runtime.rules_routes import RulesRoutes
from oriolegate.runtime.rules_service import RulesService
from oriolegate.standins.in_memory_platform import InMemoryPlatform
from oriolegate.standins.platform_store import PlatformStore

ROUTE = "route forecast to desk  # asked-by: Marta\n"
LATER_ROUTE = "route forecast to board  # asked-by: Rodrigo\n"
OTHER = "route archive to desk  # asked-by: Anna\n"
STEP_MS = 50.0


@attrs.define
class StubDocuments:
    """Applies versions in this process only, and records their numbers."""

    gossip: DocumentGossip
    clock: FakeClock
    written_versions: list = attrs.field(factory=list)

    def on_rules_written(self, accepted):
        self.written_versions.append(accepted.version)
        document = documents_messages.rules_document(accepted)
        self.gossip.step(self.clock.now_ms(), effects.DocumentWritten(document))


class RulesServiceTest(unittest.TestCase):
    def setUp(self):
        logging_setup.setup_logging(stream=io.StringIO())
        self.clock = FakeClock()
        self.timers = task.Clock()
        self.store = PlatformStore()
        first = StoredRules(1, ROUTE, "Marta", "first", 0)
        self.store.put("rules", "accepted", first.to_value(), 0)
        self.documents = StubDocuments(
            DocumentGossip("vm-1", 1, "dc-1"), self.clock
        )
        self.set_possible_members(("vm-1", True))
        self.service = RulesService(
            "vm-1",
            InMemoryPlatform(self.store, self.timers),
            self.documents,
            self.clock,
            self.timers.callLater,
        )
        self.routes = RulesRoutes(self.service).routes()

    def set_possible_members(self, *vms):
        entries = tuple(
            effects.PossibleMember(vm, "dc-1", 1, reachable)
            for vm, reachable in vms
        )
        self.documents.gossip.step(
            self.clock.now_ms(), effects.MembersUpdated(entries)
        )

    def advance(self, interval_ms):
        passed_ms = 0.0
        while passed_ms < interval_ms:
            passed_ms += STEP_MS
            self.clock.advance(STEP_MS)
            self.timers.advance(STEP_MS / 1_000.0)

    def call(self, method, path, body=None):
        request = AdminRequest(method, path, {}, body or {})
        answers = []
        self.routes[(method, path)](request).addBoth(answers.append)
        return answers

    def apply(self, base, text, **fields):
        body = {"base": base, "text": text, **fields}
        return self.call("POST", "/rules", body)

    def apply_at_once(self, base, text, **fields):
        (answer,) = self.apply(base, text, **fields)
        return answer

    def stored(self):
        return self.store.get("rules", "accepted").value

    def test_an_accepted_edit_is_distributed_and_in_force(self):
        answer = self.apply_at_once(1, ROUTE + OTHER)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.value["state"], "accepted")
        self.assertEqual(answer.value["version"], 2)
        self.assertEqual(answer.value["in_force_on"], ["vm-1"])
        self.assertEqual(answer.value["pending_on"], [])
        self.assertEqual(self.documents.written_versions, [2])
        self.assertEqual(self.stored()["text"], ROUTE + OTHER)
        self.assertEqual(self.service.edits, set())

    def test_an_answer_names_vms_that_have_not_confirmed(self):
        self.set_possible_members(
            ("vm-1", True), ("vm-2", True), ("vm-3", False)
        )
        answers = self.apply(1, ROUTE + OTHER)
        self.assertEqual(answers, [])
        self.assertEqual(self.documents.written_versions, [2])
        self.advance(rules_service.IN_FORCE_WAIT_MS)
        value = answers[0].value
        self.assertEqual(value["state"], "accepted")
        self.assertEqual(value["in_force_on"], ["vm-1"])
        self.assertEqual(value["pending_on"], ["vm-2", "vm-3"])
        self.assertEqual(value["unreachable_on"], ["vm-3"])

    def test_a_stop_answers_an_edit_that_waits_for_vms(self):
        self.set_possible_members(("vm-1", True), ("vm-2", True))
        answers = self.apply(1, ROUTE + OTHER)
        self.service.stop()
        self.advance(STEP_MS)
        self.assertEqual(answers[0].value["pending_on"], ["vm-2"])

    def test_the_first_edit_in_an_empty_store_is_version_one(self):
        self.store.delete("rules", "accepted", 1)
        answer = self.apply_at_once(0, OTHER)
        self.assertEqual(answer.value["state"], "accepted")
        self.assertEqual(self.stored()["text"], OTHER)
        self.assertEqual(self.documents.written_versions, [1])

    def test_edits_of_different_rules_merge(self):
        self.apply_at_once(1, ROUTE + OTHER)
        answer = self.apply_at_once(1, LATER_ROUTE)
        self.assertEqual(answer.value["state"], "merged")
        self.assertEqual(answer.value["version"], 3)
        self.assertIn("archive", answer.value["merged_with"])
        self.assertIn(LATER_ROUTE, self.stored()["text"])
        self.assertIn(OTHER, self.stored()["text"])

    def test_edits_that_race_in_the_store_are_both_accepted(self):
        self.store.faults.slow_ms = 10.0
        first = self.apply(1, ROUTE + OTHER)
        second = self.apply(1, LATER_ROUTE)
        # The edit that loses the race makes seven calls, without a retry delay.
        self.advance(7 * STEP_MS)
        self.assertEqual(first[0].value["state"], "accepted")
        self.assertEqual(second[0].value["state"], "merged")
        self.assertEqual(self.documents.written_versions, [2, 3])

    def test_a_conflict_is_refused_with_its_difference(self):
        self.apply_at_once(1, LATER_ROUTE)
        before = self.stored()
        answer = self.apply_at_once(1, ROUTE.replace("desk", "portal"))
        self.assertEqual(answer.status, 409)
        self.assertEqual(answer.value["state"], "refused")
        for service in ("desk", "board", "portal"):
            self.assertIn(service, answer.value["difference"])
        self.assertEqual(self.stored(), before)
        self.assertEqual(self.documents.written_versions, [2])

    def test_an_edit_is_accepted_if_the_answers_to_both_writes_are_lost(self):
        self.store.faults.lose_answers = 2
        answers = self.apply(1, ROUTE + OTHER)
        self.advance(2_000.0)
        self.assertEqual(answers[0].value["state"], "accepted")
        self.assertEqual(self.store.version_of("rules", "accepted"), 2)
        self.assertEqual(self.documents.written_versions, [2])

    def test_an_edit_during_an_outage_is_not_accepted_later(self):
        self.store.faults.outage = True
        answers = self.apply(1, ROUTE + OTHER)
        self.advance(8_500.0)
        self.assertEqual(answers[0].status, 503)
        self.assertEqual(answers[0].value["state"], "unavailable")
        self.store.faults.outage = False
        self.advance(60_000.0)
        self.assertEqual(self.store.version_of("rules", "accepted"), 1)
        self.assertEqual(self.documents.written_versions, [])

    def test_an_edit_is_unknown_during_an_outage_after_the_write(self):
        self.store.faults.lose_answers = 2
        self.store.listeners.append(self.fail_after_the_write)
        answers = self.apply(1, ROUTE + OTHER)
        self.advance(8_500.0)
        self.assertEqual(answers[0].status, 202)
        self.assertEqual(answers[0].value["state"], "unknown")
        self.assertEqual(self.documents.written_versions, [])
        self.store.faults.outage = False
        self.advance(60_000.0)
        self.assertEqual(self.documents.written_versions, [2])
        self.assertEqual(self.service.edits, set())

    def fail_after_the_write(self, kind):
        self.store.faults.outage = kind == "rules"

    def test_a_dry_run_changes_nothing(self):
        answer = self.apply_at_once(1, ROUTE + OTHER, dry_run=True)
        self.assertEqual(answer.value["state"], "dry-run")
        self.assertIn("archive", answer.value["difference"])
        self.assertEqual(self.store.counts["put"], 0)
        self.assertEqual(self.documents.written_versions, [])

    def test_too_many_unfinished_edits_are_refused(self):
        self.store.faults.outage = True
        for _ in range(rules_service.MAX_EDITS):
            self.apply(1, ROUTE + OTHER)
        with self.assertRaises(PlatformError):
            self.apply(1, ROUTE + OTHER)
        self.service.stop()
        self.assertEqual(self.timers.getDelayedCalls(), [])

    def test_a_body_that_is_not_an_edit_is_refused(self):
        with self.assertRaises(CallerInputError):
            self.apply(-1, ROUTE)

    def test_history_lists_versions_newest_first(self):
        self.apply_at_once(1, ROUTE + OTHER)
        (answer,) = self.call("GET", "/rules/history")
        rows = answer.value["versions"]
        self.assertEqual([row["version"] for row in rows], [2, 1])
        self.assertEqual([row["asked_by"] for row in rows], ["Anna", "Marta"])

    def test_history_without_the_store_is_a_platform_error(self):
        self.apply_at_once(1, ROUTE + OTHER)
        self.store.faults.outage = True
        (failure,) = self.call("GET", "/rules/history")
        self.assertIsInstance(failure.value, PlatformError)
