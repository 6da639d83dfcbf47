"""One request from its arrival to its answer; nothing here does I/O."""
