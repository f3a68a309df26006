"""What a VM holds in memory for its callers, and how it gets it back."""
