"""Run a gateway that connects from its own address: HOST of the VM.

All VMs of a soak share one machine. Servers can tell them apart by the address
that their connections come from. Each has a time of day of its own, which jumps
at SIGUSR1.
"""

import functools
import os
import pathlib
import signal
import sys
import time


def step_clock_at_signal() -> None:
    """Add seconds from a file to the time of day, read at each SIGUSR1.

    Call this before any other module keeps a reference to the clock.
    """
    offset_path = pathlib.Path(os.environ["ORIOLEGATE_BOOT"] + ".clock")
    read_time, read_time_ns = time.time, time.time_ns
    offset_s = 0.0

    def on_signal(*_: object) -> None:
        nonlocal offset_s
        offset_s = float(offset_path.read_text())

    signal.signal(signal.SIGUSR1, on_signal)
    time.time = lambda: read_time() + offset_s
    time.time_ns = lambda: read_time_ns() + int(offset_s * 1e9)


def main(host: str) -> int:
    """Run the gateway; return the exit status."""
    step_clock_at_signal()
    from oriolegate.cli import main_parser
    from oriolegate.commands import gateway

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
