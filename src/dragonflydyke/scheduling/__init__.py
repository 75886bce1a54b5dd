"""Decisions on load: cost of requests, placement, fallbacks; no I/O."""
