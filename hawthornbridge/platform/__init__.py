"""Adapter to the users' platform: header names, formats and calls, without any decisions of the query tier."""
