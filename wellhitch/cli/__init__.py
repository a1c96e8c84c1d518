"""The `wellhitch` command: one file a subcommand."""
