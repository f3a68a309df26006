"""An entry VM that routes by host and finds its targets in the platform's store."""
