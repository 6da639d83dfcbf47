"""Limits on the extra sends of this VM; no I/O."""
