"""Stand-ins of the review for the platform, targets and clients, on loopback."""
