"""Replay of seeded traces through the decision code, with timed fakes at the interfaces."""
