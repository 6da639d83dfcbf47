"""Run a gateway that connects from its own address: HOST of the VM.

All VMs of a soak share one machine. Servers can tell them apart by the address
that their connections come from.
"""

import functools
import sys

from oriolegate.cli import main_parser
from oriolegate.commands import gateway


def main(host: str) -> int:
    """Run the gateway; return the exit status."""
    # The reactor must not load OpenSSL here either.
    gateway.block_openssl_imports()
    from twisted.internet import reactor

    reactor.connectTCP = functools.partial(  # type: ignore[attr-defined]
        reactor.connectTCP,  # type: ignore[attr-defined]
        bindAddress=(host, 0),
    )
    return main_parser.run(["gateway"])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
