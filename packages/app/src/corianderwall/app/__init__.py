"""The corianderwall program and its demo."""
