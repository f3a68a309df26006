"""Tasks: each owns its sockets and state; they talk by messages in mailboxes."""
