"""Placement plans: the fraction of each zone's jobs that each planner gets, solved in advance."""
