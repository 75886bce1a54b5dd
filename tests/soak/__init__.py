"""Fault soak of the forwarding program as separate processes."""
