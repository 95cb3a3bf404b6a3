"""Emulates the platform, its workers and backend servers for tests, the demo and load measurements."""
