"""The cluster node: sockets between schedulers, an event log, and replicated settings rows."""
