"""The subcommands of the command line, a module for each concern."""
