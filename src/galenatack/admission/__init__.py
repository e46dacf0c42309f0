"""Admission of calls to the own target."""
