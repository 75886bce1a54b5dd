"""Signed session tokens."""
