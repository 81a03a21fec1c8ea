"""Subcommands of the ``plantainloft`` command, one module each."""
