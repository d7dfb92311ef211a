"""Plans: which part of each zone's jobs goes to each planner, solved ahead under constraints."""
