"""Small versioned rows that reach every scheduler: tables, digests, rumours, repair, a budget of bytes. No
I/O; time and dice are passed in. Who the peers are, and how a message reaches them, is the user's.
"""
