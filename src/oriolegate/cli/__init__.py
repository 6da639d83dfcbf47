"""Command line: main parser, shared options and exit statuses."""
