"""Tests of the app package."""
