"""Runtime checks of the product's invariants, one module each."""
