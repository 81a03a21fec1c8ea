"""Overload control: admission of requests and the returns of refused callers."""
