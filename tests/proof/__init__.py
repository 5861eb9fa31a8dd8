"""Stateful proofs, one module for each promise."""
