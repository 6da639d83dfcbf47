"""Decides which connections of clients a process keeps and serves."""
