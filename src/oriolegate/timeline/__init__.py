"""The time line: events of all processes in one causal order."""
