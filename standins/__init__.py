"""Stand-ins for external systems, run as separate processes in tests and benchmarks."""
