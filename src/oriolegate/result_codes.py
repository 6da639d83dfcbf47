"""Numbered result codes; docs/result-codes.md has the same table.

A code's first digit is its category: 1 caller input, 2 routing and coverage,
3 refusals before a request ran, 4 unknown outcomes, 5 configuration,
6 platform, 7 peers.
"""

import enum


class ResultCode(enum.IntEnum):
    """Outcome of a request, a command or a message."""

    OK = 0
    PARTIAL = 1

    BAD_REQUEST = 1001
    BODY_TOO_LARGE = 1002
    UNKNOWN_ROUTE = 1003
    DEADLINE_INVALID = 1004
    DEADLINE_PASSED = 1005
    IDEMPOTENCY_KEY_MISSING = 1006
    IDEMPOTENCY_KEY_INVALID = 1007
    UNAUTHORIZED = 1008
    NOT_FOUND = 1009
    CALLER_GONE = 1010

    NO_REPLICA = 2001
    REPLICA_LOST = 2002
    SHARD_DEADLINE = 2003
    VERSION_GONE = 2004
    COVERAGE_TOO_LOW = 2005
    UPSTREAM_FAILED = 2006
    UPSTREAM_COLD = 2007
    UPSTREAM_BUSY = 2008

    NOT_READY = 3001
    OVERLOADED = 3002
    STOPPING = 3003
    QUARANTINED = 3004
    CLAIM_STORE_DOWN = 3005
    KEY_TOO_OLD = 3006
    NOT_RUN = 3007

    MAY_HAVE_RUN = 4001
    ALREADY_CLAIMED = 4002

    RULES_INVALID = 5001
    RULES_CONFLICT = 5002
    RULES_PENDING = 5003
    SETTINGS_INVALID = 5004

    PLATFORM_DOWN = 6001
    PLATFORM_CONFLICT = 6002
    PLATFORM_RATE_LIMITED = 6003
    PLATFORM_NOT_FOUND = 6004
    PLATFORM_BAD_ANSWER = 6005

    PEER_UNAUTHORIZED = 7001
    PEER_BAD_MESSAGE = 7002
    PEER_LOST = 7003


class RunState(enum.Enum):
    """Whether an unanswered request has been run by an upstream."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"
