"""Development tools: test runner, demo, benchmarks and proofs."""
