"""Soak of router processes under random faults."""
