"""Tests of the package tenants."""
