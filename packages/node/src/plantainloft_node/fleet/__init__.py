"""Fleet membership and the exchange of reports between entry instances."""
