"""Enforcement of the limits of client accounts."""

from dragonflydyke.limits.accounts import AccountLimiter, Admission

__all__ = ["AccountLimiter", "Admission"]
