"""Virtual time: a reactor that is not bound to real time, and VM timers.

`twisted.internet.task.Clock` sorts all its calls whenever one is added; with
some thousand sub-requests in flight the sorting would take most of the run.
`VirtualReactor` offers the same methods and stores its calls in a heap.
"""

from collections.abc import Callable
import heapq
import itertools
from typing import Any

import attrs

# Wall-clock time at the start of virtual time.
WALL_START_MS = 1_700_000_000_000
MS_PER_S = 1_000.0


@attrs.define(eq=False)
class VirtualCall:
    """A scheduled call, which can be cancelled.

    Attributes:
        function: Function to call; None once called or cancelled.
        arguments: Positional arguments of the function.
    """

    function: Callable[..., Any] | None
    arguments: tuple[Any, ...]

    def active(self) -> bool:
        """Return whether the call was neither made nor cancelled."""
        return self.function is not None

    def cancel(self) -> None:
        """Cancel the call."""
        self.function = None

    def run(self) -> None:
        """Make the call unless it was cancelled."""
        function = self.function
        self.function = None
        if function is not None:
            function(*self.arguments)


class VirtualReactor:
    """Clock and delayed calls of a Twisted reactor, in virtual time.

    Attributes:
        current_ms: Current virtual time.
        heap: Scheduled calls by time; calls for the same time run in the order
            in which they were scheduled.
    """

    def __init__(self) -> None:
        self.current_ms = 0.0
        self.heap: list[tuple[float, int, VirtualCall]] = []
        self.call_numbers = itertools.count()

    def seconds(self) -> float:
        """Return the virtual time in seconds."""
        return self.current_ms / MS_PER_S

    def now_ms(self) -> float:
        """Return the virtual time in milliseconds."""
        return self.current_ms

    def boot_ms(self) -> float:
        """Return the virtual time, as the machine is never suspended."""
        return self.now_ms()

    def wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds since the epoch."""
        return WALL_START_MS + int(self.current_ms)

    def callLater(  # noqa: N802 (Twisted's name)
        self, delay_s: float, function: Callable[..., Any], *arguments: Any
    ) -> VirtualCall:
        """Schedule a call after a delay."""
        return self.call_at(
            self.current_ms + max(0.0, delay_s) * MS_PER_S, function, *arguments
        )

    def call_at(
        self, at_ms: float, function: Callable[..., Any], *arguments: Any
    ) -> VirtualCall:
        """Schedule a call at a time."""
        call = VirtualCall(function, arguments)
        heapq.heappush(self.heap, (at_ms, next(self.call_numbers), call))
        return call

    def run_until(self, end_ms: float) -> None:
        """Advance to a time and make all calls that are due, in order."""
        heap = self.heap
        while heap and heap[0][0] <= end_ms:
            at_ms, _, call = heapq.heappop(heap)
            self.current_ms = max(self.current_ms, at_ms)
            call.run()
        self.current_ms = max(self.current_ms, end_ms)


class VmTimers:
    """Delayed calls of one VM, including messages delivered to the VM.

    The calls wait while the VM is paused, but its clock does not stop, as on
    a real machine.

    Attributes:
        reactor: Virtual time of all VMs.
        paused: Whether the VM is paused.
        dead: Whether the VM has failed; the calls of a failed VM are dropped.
        backlog: Calls that were due during the pause.
    """

    def __init__(self, reactor: VirtualReactor) -> None:
        self.reactor = reactor
        self.paused = False
        self.dead = False
        self.backlog: list[VirtualCall] = []

    def seconds(self) -> float:
        """Return the virtual time in seconds."""
        return self.reactor.seconds()

    def callLater(  # noqa: N802 (Twisted's name)
        self, delay_s: float, function: Callable[..., Any], *arguments: Any
    ) -> VirtualCall:
        """Schedule a call after a delay, or later if the VM is paused then."""
        call = VirtualCall(function, arguments)
        self.reactor.callLater(delay_s, self._run, call)
        return call

    def _run(self, call: VirtualCall) -> None:
        if self.paused:
            self.backlog.append(call)
        elif not self.dead:
            call.run()

    def pause(self) -> None:
        """Pause the VM until `resume`."""
        self.paused = True

    def resume(self) -> None:
        """End the pause and make the calls that were due during it."""
        self.paused = False
        backlog = self.backlog
        self.backlog = []
        for call in backlog:
            self._run(call)
