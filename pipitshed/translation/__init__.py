"""Message forms with versions, and the steps between them. No I/O."""
