"""Translation of messages between versions of the message form; no I/O."""
