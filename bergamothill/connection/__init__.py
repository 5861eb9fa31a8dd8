"""What lives as long as a connection: clients of outside systems and peer links."""
