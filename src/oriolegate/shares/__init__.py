"""Divide leaf limits as conserved shares among each service's homes."""
