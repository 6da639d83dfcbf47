"""Tracks the state of leafs and limits the requests sent to each."""
