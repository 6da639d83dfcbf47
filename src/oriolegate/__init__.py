"""Query tier that fans out requests over many shards."""

__version__ = "0.1.0"
