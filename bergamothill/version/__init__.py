"""Versioned state: configuration, weight versions, cached context and rollouts."""
