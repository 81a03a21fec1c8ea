"""Request limits that endpoints name in their responses, kept by all instances together."""
