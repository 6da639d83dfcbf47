"""`oriolegate gateway`: run one gateway process on a machine of the users."""

import argparse
import os
import sys

from oriolegate.platform import node_settings

# OpenSSL uses 4.7 MB of a process's memory, which is paid for on every machine.
# Twisted's reactor loads it through asyncio and hashlib; both modules work
# without OpenSSL, and the platform uses plain HTTP.
OPENSSL_MODULES = ("ssl", "_hashlib")


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
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


def block_openssl_imports() -> None:
    """Make imports of OpenSSL fail, as on a Python built without it."""
    for name in OPENSSL_MODULES:
        if name not in sys.modules:
            sys.modules[name] = None  # type: ignore[assignment]


def run(arguments: argparse.Namespace) -> int:
    """Serve until the process gets a signal to stop; return the exit status."""
    block_openssl_imports()
    from oriolegate.runtime import gateway_process

    gateway_process.serve(arguments.settings, arguments.verbose)
    return 0
