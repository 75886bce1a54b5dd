"""Open-loop load generator with seeded schedules of arrivals."""
