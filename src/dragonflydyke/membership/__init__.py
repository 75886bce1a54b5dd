"""Membership of routers in the fleet and their permission to serve."""
