"""Entry VM that routes by host and discovers its targets in the platform's store."""
