"""The entry VM process: tasks around the decisions of hornbeamstand_core."""

__version__ = "0.1.0"
