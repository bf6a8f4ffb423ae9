"""Operators' client and the remote procedure call schema."""
