"""The ten invariants, one module each."""
