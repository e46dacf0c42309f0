"""Tests of crowds of clients that are not ours, against a node process."""
