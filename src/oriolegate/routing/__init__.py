"""Choice of the route of a request; no I/O."""
