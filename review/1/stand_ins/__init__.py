"""Stand-ins for the platform, targets and clients, shared by all cases."""
