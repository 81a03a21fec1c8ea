"""The entry process: everything an entry instance runs, wired together."""
