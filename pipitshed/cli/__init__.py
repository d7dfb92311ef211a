"""The command line, with one module for each command group."""
