"""Request-scoped code: admission, routing, KV cache restore, answer streams, service calls."""
