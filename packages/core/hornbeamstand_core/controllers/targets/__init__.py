"""Targets from service discovery: their state, and where it is read from."""
