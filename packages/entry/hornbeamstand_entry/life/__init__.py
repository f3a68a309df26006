"""The life of a process, from its first signals to its exit, the same for each program.

What a program brings to it is a ``Program``. The modules here import neither a program
nor what only one of them needs.
"""
