"""Inner protocol between routers."""
