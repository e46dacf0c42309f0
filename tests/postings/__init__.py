"""Tests of the postings package."""
