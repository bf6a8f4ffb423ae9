"""Stand-ins for the platform, its endpoints and its clients, and the processes under test."""
