"""Tests of homes and evacuations."""
