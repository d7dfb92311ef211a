"""The carriers: they bring attempts to endpoints and report one outcome for each."""
