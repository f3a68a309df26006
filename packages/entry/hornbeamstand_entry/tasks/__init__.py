"""The tasks of a process.

Each task owns its sockets and its state, and the tasks exchange messages through
mailboxes.
"""
