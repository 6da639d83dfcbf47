"""Detect which VMs are alive, by heartbeats, gossip and the VM list."""
