"""The other entry VMs: which are alive, and which own a service."""
