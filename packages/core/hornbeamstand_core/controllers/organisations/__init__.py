"""Controllers of organisations, whose callers identify themselves by keys."""
