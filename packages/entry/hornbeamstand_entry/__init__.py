"""The entry VM process: the tasks that run the controllers of hornbeamstand_core."""

__version__ = "0.1.0"
