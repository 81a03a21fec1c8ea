"""Requests that crash the endpoints that run them: known, counted, shut out."""
