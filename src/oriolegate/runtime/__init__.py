"""Wiring of the programs: state machines, network, timers, start and stop."""
