"""Emulators of the platform and the backend servers, for tests and demos."""
