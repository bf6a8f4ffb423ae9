"""Client for the platform's object API, with leases and the head object."""
