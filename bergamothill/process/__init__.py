"""Process-wide components: settings, daemon, membership, leases and metrics."""
