"""Tests of the protection of cold targets."""
