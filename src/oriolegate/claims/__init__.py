"""At-most-once execution of non-idempotent requests, without any I/O."""
