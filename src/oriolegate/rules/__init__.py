"""Parse, format, merge, accept and evaluate the rules file; no I/O."""
