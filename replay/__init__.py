"""Simulates entry VMs on a virtual clock and replays recorded traces through them.

The entry VMs run the product's own controllers and filter chain. The targets are models
with slots and service times.
"""
