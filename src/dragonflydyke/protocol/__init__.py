"""gRPC protocol of the calls between routers."""
