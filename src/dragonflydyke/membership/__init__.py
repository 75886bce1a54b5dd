"""Which routers exist, and whether this one may serve."""
