"""Console commands."""
