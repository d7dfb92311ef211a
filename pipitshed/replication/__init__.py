"""Replication of small versioned rows to every scheduler: digests, gossip, anti-entropy and a byte budget.

No I/O; time and random draws are passed in. The user knows the peers, and carries the messages.
"""
