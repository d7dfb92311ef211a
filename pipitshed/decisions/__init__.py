"""The only policy: the rules, their vocabulary and their settings."""
