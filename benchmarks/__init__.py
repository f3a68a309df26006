"""Measurements: policies on a virtual clock, relay costs, slopes."""
