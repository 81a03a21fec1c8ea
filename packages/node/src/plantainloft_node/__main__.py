"""Run the ``plantainloft`` command as ``python -m plantainloft_node``."""

from plantainloft_node.main import main

main()
