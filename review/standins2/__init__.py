"""Stand-ins of the second review: the platform's store, workers, and the processes of the deploy file."""
