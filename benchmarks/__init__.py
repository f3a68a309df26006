"""Measures policies on a virtual clock, and costs and faults on real entry VMs."""
