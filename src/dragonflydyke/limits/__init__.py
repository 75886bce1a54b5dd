"""Limits of client accounts across routers."""
