"""The record of orders, which ensures that each runs at most once."""
