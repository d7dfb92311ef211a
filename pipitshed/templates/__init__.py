"""Files that `init` writes and the laboratory uses."""
