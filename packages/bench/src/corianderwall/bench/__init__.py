"""The demo and the measurements."""
