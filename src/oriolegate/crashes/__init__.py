"""Which requests crash the leafs that run them; nothing here does I/O."""
