"""What lives as long as one request: admission, routing, restore, answer stream, action."""
