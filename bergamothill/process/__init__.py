"""What lives as long as the process: settings, daemon, membership, leases, metrics."""
