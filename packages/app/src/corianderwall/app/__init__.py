"""The corianderwall command and its demo."""
