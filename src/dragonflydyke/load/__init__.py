"""Load generation with open-loop arrivals from seeded schedules."""
