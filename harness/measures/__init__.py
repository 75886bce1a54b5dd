"""Parts of the capacity measurement."""
