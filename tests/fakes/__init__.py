"""Fakes of the interfaces."""
