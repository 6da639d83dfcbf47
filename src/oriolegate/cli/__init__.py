"""Parser, shared options and exit statuses of the command line."""
