"""Which route a request takes; nothing here does I/O."""
