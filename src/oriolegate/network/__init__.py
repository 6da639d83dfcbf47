"""Network I/O with callers, upstreams, peers, the platform and operators."""
