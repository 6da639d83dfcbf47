"""Which leaf a request is sent to; nothing here does I/O."""
