"""Settings read anew at SIGHUP: which files are whole, and how new classes join those in force. No I/O."""
