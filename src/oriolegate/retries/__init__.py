"""How many extra sends this VM may make; nothing here does I/O."""
