"""The servers that clients connect to: HTTP and Gearman, and the listening sockets."""
