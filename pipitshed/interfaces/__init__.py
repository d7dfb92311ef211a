"""The planner interface of version 2, made from docs/interfaces/planner.proto (see `.ci/run`)."""
