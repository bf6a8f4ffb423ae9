"""The operators' command-line client and the schema of the operators' calls."""
