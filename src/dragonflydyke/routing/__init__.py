"""Choice of model, version and backend server."""
