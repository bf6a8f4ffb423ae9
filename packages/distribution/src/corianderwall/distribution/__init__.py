"""Propagation of configuration snapshots between nodes."""
