"""Clients of the platform's log service and membership list."""
