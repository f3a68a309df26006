"""The operators' command: check, compare, publish and watch a folder."""

__version__ = "0.1.0"
