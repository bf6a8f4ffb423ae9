"""Failure detection and endpoint announcements between nodes."""
