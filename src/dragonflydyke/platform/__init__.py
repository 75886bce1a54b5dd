"""Adapter to the users' platform: names, formats and store calls only."""
