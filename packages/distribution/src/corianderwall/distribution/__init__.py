"""Distribution of configuration snapshots between nodes."""
