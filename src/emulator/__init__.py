"""Small stand-ins for the platform and for backend servers, for tests, the demo and load measurements."""
