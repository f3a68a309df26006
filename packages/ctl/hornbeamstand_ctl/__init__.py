"""The operators' command line: manages the configuration and inspects entry VMs."""

__version__ = "0.1.0"
