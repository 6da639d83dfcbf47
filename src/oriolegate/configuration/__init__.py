"""Spread accepted documents to every VM and track who has them in force."""
