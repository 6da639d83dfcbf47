"""A VM's view of the platform's store, kept current by watches; no I/O."""
