"""Agent role: the only path to one backend server."""
