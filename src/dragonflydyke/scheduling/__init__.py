"""Learned cost of requests and relative speed of servers; no I/O."""
