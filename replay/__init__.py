"""Replays requests through the core on a virtual clock.

Targets are modelled as slots and service times; entry VMs are the product's own
controllers and filter chain.
"""
