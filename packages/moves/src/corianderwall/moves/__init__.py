"""Plans, evidence and control of moves between upstream versions."""
