"""Roll-outs: who may get requests while a service moves to a new version, or back."""
