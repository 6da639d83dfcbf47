"""Exit statuses of the program."""

import enum

from oriolegate.result_codes import ResultCode


class ExitStatus(enum.IntEnum):
    """Exit status of the process."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    CONFLICT = 3
    PENDING = 4
    UNAVAILABLE = 5
    UNKNOWN = 6


MEANINGS = {
    ExitStatus.SUCCESS: "done",
    ExitStatus.ERROR: "failed; the message names the result code",
    ExitStatus.USAGE: "wrong options or settings",
    ExitStatus.CONFLICT: "a conflicting edit was accepted before",
    ExitStatus.PENDING: "accepted, but some VMs have not confirmed it yet",
    ExitStatus.UNAVAILABLE: "a VM or the platform could not be reached",
    ExitStatus.UNKNOWN: "whether the edit was accepted is not known",
}


def exit_status_of(code: ResultCode) -> ExitStatus:
    """Return the exit status of a command that ended with a result code."""
    match code:
        case ResultCode.OK:
            return ExitStatus.SUCCESS
        case ResultCode.SETTINGS_INVALID:
            return ExitStatus.USAGE
        case ResultCode.RULES_CONFLICT:
            return ExitStatus.CONFLICT
        case ResultCode.RULES_PENDING:
            return ExitStatus.PENDING
        case ResultCode.PLATFORM_DOWN | ResultCode.NOT_READY:
            return ExitStatus.UNAVAILABLE
        case _:
            return ExitStatus.ERROR
