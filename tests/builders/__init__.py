"""Builders of test data and substitutes for outside systems."""
