"""Configuration snapshots, changes, deltas and the error catalogue."""
