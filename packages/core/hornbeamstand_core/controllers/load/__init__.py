"""Decisions under load: whom a request is sent to, who waits and who is refused."""
