"""At most one execution of calls that may not be repeated."""
