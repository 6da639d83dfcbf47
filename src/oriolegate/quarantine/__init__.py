"""Detects requests that crash upstreams and refuses them; no I/O."""
