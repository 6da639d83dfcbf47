"""Decides which leafs may get how much work."""
