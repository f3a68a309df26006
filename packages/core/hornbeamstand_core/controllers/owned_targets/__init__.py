"""Targets of the operators' folder that this VM owns, and the requests to them."""
