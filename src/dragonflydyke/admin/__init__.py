"""HTTP API for operators and health checks."""
