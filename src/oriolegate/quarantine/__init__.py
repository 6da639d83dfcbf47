"""Requests that crash upstreams: found, bounded and refused; no I/O."""
