"""Stateful property-based proofs, one module for each guarantee."""
