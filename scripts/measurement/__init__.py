"""Discrete-event replay of seeded traces against the routing code, with simulated engines."""
