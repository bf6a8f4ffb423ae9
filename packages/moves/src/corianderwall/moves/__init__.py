"""Shifts a service's traffic from one upstream version to another, guarded by statistical tests."""
