"""Plain data classes shared by all packages; no I/O."""
