"""Adapter to the users' platform: HTTP headers, store objects, VM settings.

Translates the platform's field names into typed records and decides nothing.
"""
