"""Client of the platform's object API, with leases and storage of the head object."""
