"""Settings of the commands: flags, environment variables and their checks."""
