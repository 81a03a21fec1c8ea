"""The ``plantainctl`` commands, one per module."""
