"""The ``plantainctl`` command-line tool for operators."""
