"""Agent role: starts tasks at one backend server, as its only client."""
