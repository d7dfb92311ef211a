"""The scheduler process: its assembly from components, start, configuration reload and shutdown."""
