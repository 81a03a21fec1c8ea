"""This instance's replica of the platform's tables: declarations and endpoints."""
