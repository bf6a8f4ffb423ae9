"""Routing, endpoint choice, fair shares, limits and retries."""
