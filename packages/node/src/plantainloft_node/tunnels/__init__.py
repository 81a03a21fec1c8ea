"""Connections to endpoints through other instances.

An instance that has lost its links to an endpoint asks a peer to open the connection. The
peer copies bytes and decides nothing about requests: the instance that took a request from
its caller chooses the endpoint and applies all limits, as on a direct connection.
"""
