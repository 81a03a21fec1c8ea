"""Overload control: ordered returns of refused callers."""
