"""Adapter to the users' platform: translates names and formats and contains no scheduling logic."""
