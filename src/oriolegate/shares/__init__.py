"""Divide each leaf's limits into shares for the VMs that use the leaf.

The homes of a service are the VMs that hold connections to its leafs. Each
holds a share of every leaf's limits, granted through one share object in the
platform's store, so that the shares never add up to more than the limits.
"""
