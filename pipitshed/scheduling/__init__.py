"""Scheduling decisions: typed events in, typed actions out, without a clock or sockets."""
