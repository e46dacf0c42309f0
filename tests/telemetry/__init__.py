"""Tests of the package telemetry."""
