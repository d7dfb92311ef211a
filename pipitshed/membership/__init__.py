"""Membership of schedulers: SWIM with Lifeguard and anti-entropy, with no I/O."""
