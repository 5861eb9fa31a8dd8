"""Development programs: test runner, demo, benches and proofs."""
