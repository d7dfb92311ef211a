"""Which schedulers live: SWIM with Lifeguard and full exchanges. No I/O; clock and dice are passed in."""
