"""`oriolegate gateway`: run one gateway process on a machine of the users."""

import argparse
import os
import sys

from oriolegate.platform import node_settings

# OpenSSL takes 4.7 MB of a process's memory, which is priced on every machine.
# Twisted's loop loads it by way of asyncio and hashlib; both do without it, and
# the platform speaks plain HTTP.
OPENSSL_MODULES = ("ssl", "_hashlib")


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the flags."""
    parser.add_argument(
        "--settings",
        metavar="PATH",
        default=os.environ.get(node_settings.PATH_VARIABLE, ""),
        help="the settings file of this machine "
        f"(default: {node_settings.PATH_VARIABLE})",
    )
    parser.add_argument(
        "-v",
        "--verbose",
        action="count",
        default=0,
        help="log more; may be repeated",
    )


def leave_out_openssl() -> None:
    """Make imports of OpenSSL fail, as on a Python that was built without."""
    for name in OPENSSL_MODULES:
        if name not in sys.modules:
            sys.modules[name] = None  # type: ignore[assignment]


def run(arguments: argparse.Namespace) -> int:
    """Serve until the process is told to stop.

    Returns:
        The exit status.
    """
    leave_out_openssl()
    from oriolegate.runtime import gateway_process

    gateway_process.serve(arguments.settings, arguments.verbose)
    return 0
