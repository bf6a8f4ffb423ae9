"""The mesh node: forwards each call of its host's callers to the owner of an endpoint."""
