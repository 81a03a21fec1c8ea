"""The other entry instances: who is there, what they know."""
