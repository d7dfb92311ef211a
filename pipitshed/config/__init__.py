"""Configuration: reading and checking its files, and replacing the settings in force with new ones."""
