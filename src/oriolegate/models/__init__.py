"""Plain data that flows between the parts; nothing here does I/O."""
