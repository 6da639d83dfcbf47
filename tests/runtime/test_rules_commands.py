"""Functional tests: rules commands and callers against a serving process."""

import io
import pathlib
import tempfile
import threading
import unittest

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task

from oriolegate import logging_setup
from oriolegate.cli.status_codes import ExitStatus
from oriolegate.measurement import embedded_site
from oriolegate.measurement.caller import Caller
from oriolegate.network.platform_api import VmRecord
from oriolegate.network.platform_api import VmState
from oriolegate.result_codes import ResultCode
from oriolegate.rules.trial_report import TrialSide
from oriolegate.standins.layout import measurement_layout
from tests.cli.test_command_line import run_command
from tests.reactor_case import on_reactor

POLL_S = 0.02
ROUTE = "route maps to service-0  # asked-by: Wanjiru\n"
TRIAL = (
    'trial halves send 50% of caller "*" on service service-0 '
    "to policy deadline 3s  # asked-by: Otieno\n"
)
MIRROR = (
    'mirror old 100% of caller "*" on service service-0 '
    "to index 1  # asked-by: Otieno\n"
)


class ServingCase(unittest.TestCase):
    """Serves a small site in this process and runs commands against it."""

    def setUp(self):
        logging_setup.setup_logging(stream=io.StringIO())
        layout = measurement_layout(3)
        self.site = embedded_site.EmbeddedSite(reactor, layout, ROUTE, seed=3)
        self.addCleanup(self.site.stop)
        self.service = self.site.process.parts.rules
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.write("key", embedded_site.KEY)

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    async def until(self, condition):
        while not condition():
            await task.deferLater(reactor, POLL_S)

    async def serve(self):
        self.site.process.start()
        await self.until(lambda: self.site.process.tier.flow.state.ready)

    async def command(self, *arguments):
        ended = defer.Deferred()

        def run():
            completed = run_command(
                *arguments,
                f"--admin=http://{embedded_site.HOST}:{self.site.admin_port}",
                f"--admin-key-file={self.folder / 'key'}",
            )
            reactor.callFromThread(ended.callback, completed)

        thread = threading.Thread(target=run)
        thread.start()
        completed = await ended
        thread.join()
        return completed


class RulesCommandsTest(ServingCase):
    @on_reactor
    async def test_apply_show_and_history_work_together(self):
        await self.serve()
        file = self.write("rules.txt", ROUTE + TRIAL)
        applied = await self.command("apply", file, "--base=1")
        self.assertEqual(applied.returncode, ExitStatus.SUCCESS, applied)
        self.assertIn("accepted, version 2", applied.stdout)
        self.assertIn("in force on 1 VMs", applied.stdout)
        shown = await self.command("show")
        self.assertEqual(shown.stdout, ROUTE + TRIAL)
        self.assertIn("version 2, in force on 1 VMs", shown.stderr)
        history = await self.command("history", "--difference")
        rows = history.stdout.splitlines()
        self.assertRegex(rows[1], r"^ +2 +1 +Otieno ")
        self.assertIn("trial halves", rows[2])
        self.assertIn("embedded site", history.stdout)
        self.site.process.stop()
        self.assertTrue(self.service.stopped)

    @on_reactor
    async def test_apply_exits_with_the_conflict_status_on_a_conflict(self):
        await self.serve()
        text = ROUTE.replace("service-0", "service-8")
        await self.command("apply", self.write("a.txt", text), "--base=1")
        text = ROUTE.replace("service-0", "service-9")
        file = self.write("b.txt", text)
        refused = await self.command("apply", file, "--base=1")
        self.assertEqual(refused.returncode, ExitStatus.CONFLICT, refused)
        self.assertIn("service-8", refused.stderr)

    @on_reactor
    async def test_an_unreachable_vm_keeps_an_edit_pending(self):
        unreachable = VmRecord("vm-9", "127.0.0.1", 9, "dc-0", VmState.LIVE)
        self.site.store.set_vms(0.0, (unreachable,))
        self.service.in_force_wait_ms = 100.0
        await self.serve()
        possible_members = (
            self.site.process.parts.peers.membership.possible_members
        )
        await self.until(
            lambda: "vm-9" in {member.vm for member in possible_members()}
        )
        file = self.write("rules.txt", ROUTE + TRIAL)
        applied = await self.command("apply", file, "--base=1")
        self.assertEqual(applied.returncode, ExitStatus.PENDING, applied)
        self.assertIn("not confirmed by: vm-9", applied.stderr)

    @on_reactor
    async def test_an_invalid_body_is_refused(self):
        await self.serve()
        url = f"http://{embedded_site.HOST}:{self.site.admin_port}"
        operator = Caller(reactor, url)
        headers = {"Authorization": f"Bearer {embedded_site.KEY}"}
        for body in (b"{", b"[]", b'{"base": 1, "text": "\xff"}', b"{}"):
            answer = await operator.post("/rules", body, headers)
            self.assertEqual(answer.status, 400, body)
            self.assertEqual(answer.value["code"], ResultCode.BAD_REQUEST)
        await operator.close()


class TrialsTest(ServingCase):
    @on_reactor
    async def test_both_sides_are_recorded_and_copies_reach_no_caller(self):
        self.site.put_rules(ROUTE + TRIAL + MIRROR)
        self.site.site.publish("service-0", 2, 3)
        await self.serve()
        url = f"http://{embedded_site.HOST}:{self.site.caller_port}"
        caller = Caller(reactor, url)
        for number in range(20):
            headers = {"X-Caller": f"caller-{number}"}
            answer = await caller.post("/v1/query/maps", b"rain", headers)
            self.assertEqual(answer.status, 200, answer.value)
            self.assertEqual(answer.value["index_version"], 2)
        await caller.close()
        trials = self.site.process.tier.flow.trials
        await self.until(lambda: not trials.copies)
        halves = trials.report.outcomes["halves"]
        for outcome in halves.values():
            self.assertGreater(outcome.requests, 0)
            self.assertEqual(outcome.errors, 0)
            self.assertEqual(outcome.coverage, 1.0)
        old = trials.report.outcomes["mirror old"]
        copies = old[TrialSide.TRIAL]
        self.assertGreater(copies.requests, 0)
        self.assertEqual(copies.requests, old[TrialSide.CONTROL].requests)
        self.assertEqual(copies.errors, 0)
        self.assertEqual(copies.coverage, 1.0)
        self.site.put_rules(ROUTE)
        await self.until(lambda: not trials.report.outcomes)
