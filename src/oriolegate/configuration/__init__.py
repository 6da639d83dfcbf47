"""Distribution of accepted documents to all VMs, and their confirmations."""
