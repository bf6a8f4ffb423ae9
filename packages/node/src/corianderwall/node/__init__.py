"""The process that runs beside each upstream host."""
