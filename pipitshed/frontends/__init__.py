"""The servers that clients connect to, for HTTP and Gearman, and the listening sockets."""
