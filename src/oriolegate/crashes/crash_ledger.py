"""What is held against requests whose leafs fell while they ran.

A leaf that falls drops all that it runs, so every request there may be the
cause. One that no leaf has answered, and with which leafs fell in more than
one attempt within half a minute, is refused: it would take down every leaf in
turn. All VMs share the reports, since such a request comes back at any of them;
the first answer to it anywhere takes them back.
"""

import attrs

from oriolegate.exchange.messages import CallerCall
from oriolegate.models.site import CrashReport
from oriolegate.quarantine import fingerprint

# Falls after which a request is refused: the users bear the third.
FALLS_BORNE = 3
# They must come from so many attempts: in one, many leafs may fall at once for
# another reason.
ATTEMPTS_BORNE = 2
# And lie so close together: a caller sends such a request again at once, while
# a frequent one meets leafs that fall for other reasons now and then.
FALLS_WITHIN_MS = 30_000
# Requests that are remembered as harmless, as suspects, and as waiting to hear
# whether their leaf fell: some seconds of one VM's traffic.
MAX_HARMLESS = 2_000
MAX_SUSPECTS = 200
MAX_UNJUDGED = 500


def call_fingerprint(call: CallerCall) -> int:
    """Return what is the same each time a request comes back."""
    line = f"{call.method.decode('latin-1')} {call.host} "
    line += call.target.decode("latin-1")
    return fingerprint.fingerprint(line, call.body, None)


@attrs.frozen
class Lost:
    """A request whose connection was lost while a leaf may have run it."""

    fingerprint: int
    attempt_id: str


class CrashLedger:
    """The reports known to this VM.

    Attributes:
        reports: Reports by name, by fingerprint of the request.
        harmless: Requests that a leaf has answered, oldest first.
        unjudged: Requests by leaf, until it is known whether the leaf fell.
    """

    def __init__(self) -> None:
        self.reports: dict[int, dict[str, CrashReport]] = {}
        self.fingerprints: dict[str, int] = {}
        self.harmless: dict[int, None] = {}
        self.unjudged: dict[str, set[Lost]] = {}

    def lost(self, leaf_id: str, lost: Lost) -> None:
        """Take that a leaf's connection was lost with a request on it."""
        if lost.fingerprint in self.harmless:
            return
        if len(self.unjudged) >= MAX_UNJUDGED:
            del self.unjudged[next(iter(self.unjudged))]
        self.unjudged.setdefault(leaf_id, set()).add(lost)

    def survived(self, leaf_id: str) -> None:
        """Take that a leaf did not fall: only the connection was lost."""
        self.unjudged.pop(leaf_id, None)

    def fell(self, leaf_id: str) -> list[Lost]:
        """Take that a leaf fell; return the requests to report."""
        found = self.unjudged.pop(leaf_id, set())
        return [
            lost
            for lost in found
            if lost.fingerprint not in self.harmless
            and len(self.reports.get(lost.fingerprint, ())) <= FALLS_BORNE
        ]

    def answered(self, call: CallerCall) -> tuple[str, ...]:
        """Take that a leaf answered a request, so that it does no harm.

        Returns:
            Names of the reports against it, which no longer hold.
        """
        found = call_fingerprint(call)
        self.harmless.pop(found, None)
        self.harmless[found] = None
        if len(self.harmless) > MAX_HARMLESS:
            del self.harmless[next(iter(self.harmless))]
        names = tuple(self.reports.get(found, ()))
        for name in names:
            self.forget(name)
        return names

    def heard(self, name: str, report: CrashReport) -> None:
        """Take a report, own or another VM's.

        Args:
            name: Unique for the request and the incarnation of the leaf.
            report: What it says.
        """
        if report.fingerprint not in self.reports:
            if len(self.reports) >= MAX_SUSPECTS:
                self._drop(next(iter(self.reports)))
            self.reports[report.fingerprint] = {}
        self.reports[report.fingerprint][name] = report
        self.fingerprints[name] = report.fingerprint

    def forget(self, name: str) -> None:
        """Take that a report no longer holds."""
        found = self.fingerprints.pop(name, None)
        if found is None:
            return
        del self.reports[found][name]
        if not self.reports[found]:
            del self.reports[found]

    def _drop(self, found: int) -> None:
        for name in self.reports.pop(found):
            del self.fingerprints[name]

    def refuses(self, call: CallerCall) -> bool:
        """Return whether a request is not to be sent to any leaf."""
        if not self.reports:
            return False
        found = call_fingerprint(call)
        reports = self.reports.get(found)
        if reports is None or found in self.harmless:
            return False
        falls = sorted(reports.values(), key=lambda report: report.wall_ms)
        return any(
            _convicts(falls[first : first + FALLS_BORNE])
            for first in range(len(falls) - FALLS_BORNE + 1)
        )


def _convicts(falls: list[CrashReport]) -> bool:
    """Return whether consecutive falls show that the request is the cause."""
    attempts = {report.attempt_id for report in falls}
    span_ms = falls[-1].wall_ms - falls[0].wall_ms
    return len(attempts) >= ATTEMPTS_BORNE and span_ms <= FALLS_WITHIN_MS
