"""This instance's copy of the platform's news: declarations and endpoints."""
