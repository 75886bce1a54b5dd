"""HTTP client of engines and plain services."""
