"""Tenants of the deployment: their keys, and how current these are."""
