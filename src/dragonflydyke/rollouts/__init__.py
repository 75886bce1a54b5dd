"""Gradual roll-outs and orders to engines."""
