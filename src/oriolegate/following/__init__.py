"""What a VM believes of the platform's store; nothing here does I/O."""
