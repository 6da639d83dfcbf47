"""Choice of the leaf that a request is sent to; no I/O."""
