"""Cluster membership of schedulers: SWIM with Lifeguard and anti-entropy, without I/O."""
