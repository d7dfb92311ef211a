"""The scheduler process: its assembly from parts, its start, reload and end."""
