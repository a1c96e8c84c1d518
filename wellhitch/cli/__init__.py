"""The `wellhitch` command, with one module for each subcommand."""
