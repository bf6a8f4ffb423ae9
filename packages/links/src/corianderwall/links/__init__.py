"""Authenticated message links between nodes."""
