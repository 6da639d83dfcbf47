"""Sockets: callers, upstreams, peers, platform and operators."""
