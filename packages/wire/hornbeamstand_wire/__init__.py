"""Encodings and helpers that the two binaries of hornbeamstand share.

They cover the JSON files of the operators' folder, the protocol of the platform's
store and the command lines. The package takes no decisions on requests or targets.
"""
