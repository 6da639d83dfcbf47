"""Scenarios that are measured with the policy on and off, and their figures."""
