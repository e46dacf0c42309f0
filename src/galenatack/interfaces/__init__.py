"""Typed interfaces to everything outside a process."""
