"""Capacity of this instance: what it has, what it uses, and what it refuses near its limits."""
