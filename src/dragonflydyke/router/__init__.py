"""The router program."""
