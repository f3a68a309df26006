"""The entry VM that routes by host and discovers targets in the platform's store."""
