"""Stand-ins for the platform and for upstreams."""
