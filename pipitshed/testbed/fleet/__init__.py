"""Runs several scheduler processes with faults between them; oracles check their logs."""
