"""Stand-ins for the platform, its runners and its clients."""
