"""Runs the programs as processes for demos, experiments and tests.

The harness is not installed; the installed programs start no processes.
"""
