"""Which VMs live: bounded heartbeats, suspicion, digests and pauses."""
