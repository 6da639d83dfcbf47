"""A query tier that fans requests out over many shards."""

__version__ = "0.1.0"
