"""Decides where a whole query goes that this process can't run itself."""
