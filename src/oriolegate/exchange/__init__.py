"""State machine of one request, from its arrival to its answer; no I/O."""
