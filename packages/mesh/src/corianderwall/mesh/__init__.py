"""A node through which every call of its host's callers passes to the owner of an endpoint."""
