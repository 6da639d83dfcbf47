"""At most once for requests that are not idempotent; nothing here does I/O."""
