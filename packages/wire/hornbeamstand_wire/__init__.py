"""Encodings that hornbeamstand's two binaries share.

The folder's JSON files, the platform's protocol and the log format. No
decision is taken here.
"""
