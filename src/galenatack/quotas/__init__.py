"""Quotas of tenants over all nodes."""
