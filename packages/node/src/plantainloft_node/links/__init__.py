"""Whether this instance reaches the endpoints of each availability zone."""
