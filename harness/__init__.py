"""Starts real processes for the demo and the integration tests.

Not part of the installed programs, which start no other process.
"""
