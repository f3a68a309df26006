"""The decision logic of hornbeamstand: request filters and state controllers.

Nothing here reads a clock, opens a socket or encodes a message. Callers pass the
current time in milliseconds and a seeded random source.
"""
