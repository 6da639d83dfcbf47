"""Admin endpoints of the rules: edits, history, confirmations and trials."""

from collections.abc import Mapping

import attrs
from twisted.internet import defer

from oriolegate.exceptions import CallerInputError
from oriolegate.network.admin import AdminAnswer
from oriolegate.network.admin import AdminRequest
from oriolegate.network.admin import Route
from oriolegate.rules import admin_view
from oriolegate.rules.trial_report import render_report
from oriolegate.runtime.rules_service import EditResponse
from oriolegate.runtime.rules_service import MAX_HISTORY_VERSIONS
from oriolegate.runtime.rules_service import RulesService


class RulesRoutes:
    """Handles operators' requests about the rules."""

    def __init__(self, service: RulesService) -> None:
        self.service = service

    def routes(self) -> Mapping[tuple[str, str], Route]:
        """Return the routes; all need the admin key."""
        return {
            ("GET", "/rules"): self._rules,
            ("POST", "/rules"): self._apply,
            ("GET", "/rules/history"): self._history,
            ("GET", "/rules/in-force"): self._in_force,
            ("GET", "/trials"): self._trials,
        }

    def _rules(self, _: AdminRequest) -> AdminAnswer:
        accepted = self.service.accepted
        if accepted is None:
            message = "this VM has no rules yet; ask again or ask another"
            return AdminAnswer(
                {"version": None, "text": "", "message": message}
            )
        confirmed = self.service.confirmation_status(accepted.version)
        return AdminAnswer(
            admin_view.rules_view(
                accepted,
                confirmed.in_force_on,
                confirmed.pending_on,
                confirmed.unreachable_on,
            )
        )

    def _apply(self, request: AdminRequest) -> "defer.Deferred[AdminAnswer]":
        return self.service.apply(request.body).addCallback(_edit_response)

    def _history(self, _: AdminRequest) -> "defer.Deferred[AdminAnswer]":
        read = defer.Deferred.fromCoroutine(self.service.history())
        return read.addCallback(
            lambda versions: AdminAnswer(
                admin_view.history_view(versions, MAX_HISTORY_VERSIONS)
            )
        )

    def _in_force(self, request: AdminRequest) -> AdminAnswer:
        accepted = self.service.accepted
        present = 0 if accepted is None else accepted.version
        text = request.arguments.get("version", str(present))
        if not (text.isascii() and text.isdigit()):
            raise CallerInputError("version must be the number of a version")
        confirmed = self.service.confirmation_status(int(text))
        return AdminAnswer(
            {
                **attrs.asdict(confirmed),
                "everywhere": not confirmed.pending_on,
                "present_version": present,
            }
        )

    def _trials(self, _: AdminRequest) -> AdminAnswer:
        return AdminAnswer(render_report(self.service.report))


def _edit_response(response: EditResponse) -> AdminAnswer:
    confirmed = response.confirmed
    view = admin_view.result_view(
        response.result,
        confirmed.in_force_on,
        confirmed.pending_on,
        confirmed.unreachable_on,
    )
    return AdminAnswer(view, int(admin_view.http_status(response.result)))
