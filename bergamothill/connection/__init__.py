"""Network connections: clients of external services and links to peers."""
