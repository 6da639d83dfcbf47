"""The timeline: events of all processes, merged in causal order."""
