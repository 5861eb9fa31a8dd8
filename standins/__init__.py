"""Small stand-ins for the outside systems, run as separate processes."""
