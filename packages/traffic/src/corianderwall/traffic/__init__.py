"""Routing, load balancing, fair sharing, concurrency limits, connection leases and retries."""
