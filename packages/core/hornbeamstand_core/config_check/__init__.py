"""Checks a configuration before it is sent, and compares it with another version."""
