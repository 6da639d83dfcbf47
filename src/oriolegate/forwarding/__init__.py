"""Forwards whole queries that this process can't run itself."""
