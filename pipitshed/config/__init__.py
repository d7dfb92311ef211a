"""Configuration: the files that are read, their checks, and how new settings replace those in force."""
