"""Decides how one query is sent, retried, hedged, merged and answered."""
