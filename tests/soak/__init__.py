"""A randomized fault soak: real processes over loopback, faults from outside, promises checked while it runs."""
