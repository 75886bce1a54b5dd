"""Shares of account limits, token buckets."""

from dragonflydyke.limits.accounts import AccountLimiter, Admission

__all__ = ["AccountLimiter", "Admission"]
