"""Gradual rollouts of model versions, and orders to engines."""
