"""The carriers: they bring hops to egress targets and report one outcome for each."""
