"""Request limits of organisations, enforced jointly by all instances."""
