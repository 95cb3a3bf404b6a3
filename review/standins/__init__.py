"""Stand-ins for workers, the store and clients, and the deployment that the scripts run."""
