"""Exit statuses of the program."""

import enum


class ExitStatus(enum.IntEnum):
    """What the process returns to the shell."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    CONFLICT = 3
    PENDING = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
