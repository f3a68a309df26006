"""State controllers: each owns one part of the state of an entry VM.

A controller is called with a message and the time in milliseconds and returns
messages. Behaviour that varies (limits, choice) is a closure handed to it.
"""
