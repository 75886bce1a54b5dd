"""Forwarding of whole HTTP requests to backend servers under routes."""
