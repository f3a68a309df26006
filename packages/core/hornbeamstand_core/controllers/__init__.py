"""State controllers: each owns one part of the state of an entry VM.

A controller is called with a message and the current time in milliseconds, and
returns messages. Behaviour that varies, such as limits and the choice of a target, is
passed to it as closures.
"""
