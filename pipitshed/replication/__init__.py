"""Replication of small versioned rows to all schedulers: digests, gossip, anti-entropy, a bandwidth budget.

The package does no I/O: the caller passes in the time and a random source, knows the peers, and carries the
messages.
"""
