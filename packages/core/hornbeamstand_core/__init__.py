"""Decisions of hornbeamstand: request filters and state controllers.

Nothing here reads a clock, opens a socket or encodes a message. Time comes in
as a number of milliseconds and randomness as a seeded source.
"""
