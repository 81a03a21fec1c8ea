"""Decisions on where a request goes, testable without a network."""
