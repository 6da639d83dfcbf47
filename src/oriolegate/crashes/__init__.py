"""Detection of requests that crash the leafs that run them; no I/O."""
