"""Command settings: flags, environment variables and their validation."""
