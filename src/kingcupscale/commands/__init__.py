"""The subcommands of the ``kingcupscale`` command."""
