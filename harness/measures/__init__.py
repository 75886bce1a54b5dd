"""Measurements that the capacity report is made of."""
