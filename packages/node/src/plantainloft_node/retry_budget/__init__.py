"""Limits the retries to each service, over all instances."""
