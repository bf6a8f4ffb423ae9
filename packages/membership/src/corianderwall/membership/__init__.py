"""Cluster membership: failure detection and endpoint announcements between nodes."""
