"""Tests of the package quotas."""
