"""What this VM reads of the platform's store, and what follows from it."""
