"""The rules file: parse, format, merge, accept and evaluate; no I/O."""
