"""What the wires have in common: a connection's buffer and the forms of their messages."""
