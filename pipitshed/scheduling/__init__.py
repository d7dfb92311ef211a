"""The scheduling decisions: typed events in, typed actions out; no clock, no sockets."""
