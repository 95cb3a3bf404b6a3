"""Entry role: serves callers, owns sessions, dispatches tasks."""
