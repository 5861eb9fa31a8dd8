"""What lives as long as a version: configuration, weight versions, blocks, rollout."""
