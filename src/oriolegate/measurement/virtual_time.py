"""Virtual time: a reactor that runs on a heap, and timers that can pause.

`twisted.internet.task.Clock` sorts all its calls with each new one; with some
thousand sub-requests in flight that is most of the time of a run. This one
offers the same two methods and keeps its calls on a heap.
"""

from collections.abc import Callable
import heapq
import itertools
from typing import Any

import attrs

WALL_START_MS = 1_700_000_000_000
MS_PER_S = 1_000.0


@attrs.define(eq=False)
class VirtualCall:
    """A call that is made later unless it is cancelled.

    Attributes:
        function: What is called; None once called or cancelled.
    """

    function: Callable[..., Any] | None
    arguments: tuple[Any, ...]

    def active(self) -> bool:
        """Return whether the call is still to be made."""
        return self.function is not None

    def cancel(self) -> None:
        """Do not make the call."""
        self.function = None

    def run(self) -> None:
        """Make the call unless it was cancelled."""
        function = self.function
        self.function = None
        if function is not None:
            function(*self.arguments)


class VirtualReactor:
    """The part of a reactor that tells the time and makes calls later.

    Attributes:
        current_ms: The time.
        heap: Calls by time; among equals, in the order they were asked for.
    """

    def __init__(self) -> None:
        self.current_ms = 0.0
        self.heap: list[tuple[float, int, VirtualCall]] = []
        self.order = itertools.count()

    def seconds(self) -> float:
        """Return the time in seconds."""
        return self.current_ms / MS_PER_S

    def now_ms(self) -> float:
        """Return the time in milliseconds."""
        return self.current_ms

    def boot_ms(self) -> float:
        """Return the virtual time: this clock is never suspended."""
        return self.now_ms()

    def wall_ms(self) -> int:
        """Return the wall clock that belongs to the time."""
        return WALL_START_MS + int(self.current_ms)

    def callLater(  # noqa: N802 (Twisted's name)
        self, delay_s: float, function: Callable[..., Any], *arguments: Any
    ) -> VirtualCall:
        """Make a call after a delay in seconds."""
        return self.at(
            self.current_ms + max(0.0, delay_s) * MS_PER_S, function, *arguments
        )

    def at(
        self, at_ms: float, function: Callable[..., Any], *arguments: Any
    ) -> VirtualCall:
        """Make a call at a time."""
        call = VirtualCall(function, arguments)
        heapq.heappush(self.heap, (at_ms, next(self.order), call))
        return call

    def run_until(self, end_ms: float) -> None:
        """Make all calls up to a time, in order."""
        heap = self.heap
        while heap and heap[0][0] <= end_ms:
            at_ms, _, call = heapq.heappop(heap)
            self.current_ms = max(self.current_ms, at_ms)
            call.run()
        self.current_ms = max(self.current_ms, end_ms)


class VmTimers:
    """Timers and deliveries of one VM, which do not happen while it pauses.

    The VM's clock runs on through a pause, as a machine's clock does.

    Attributes:
        reactor: The time of all.
        paused: True while the VM does not run.
        dead: True once the VM is gone; nothing happens there any more.
    """

    def __init__(self, reactor: VirtualReactor) -> None:
        self.reactor = reactor
        self.paused = False
        self.dead = False
        self.backlog: list[VirtualCall] = []

    def seconds(self) -> float:
        """Return the time in seconds."""
        return self.reactor.seconds()

    def callLater(  # noqa: N802 (Twisted's name)
        self, delay_s: float, function: Callable[..., Any], *arguments: Any
    ) -> VirtualCall:
        """Make a call in the VM after a delay, or when the pause ends."""
        call = VirtualCall(function, arguments)
        self.reactor.callLater(delay_s, self._run, call)
        return call

    def _run(self, call: VirtualCall) -> None:
        if self.paused:
            self.backlog.append(call)
        elif not self.dead:
            call.run()

    def pause(self) -> None:
        """Stop running until `resume`."""
        self.paused = True

    def resume(self) -> None:
        """Run again, what came meanwhile first."""
        self.paused = False
        backlog = self.backlog
        self.backlog = []
        for call in backlog:
            self._run(call)
