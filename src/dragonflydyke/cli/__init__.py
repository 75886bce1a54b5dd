"""Command-line interface for operators of a router fleet."""
