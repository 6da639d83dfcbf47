"""The composition root and what runs the core: timers, loop, stop."""
