"""Detects requests that crash endpoints, counts the crashes and quarantines the requests."""
