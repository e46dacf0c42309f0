"""Invariants, one module each, checked where the product decides."""
