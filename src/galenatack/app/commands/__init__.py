"""Commands of the `galenatack` tool, one group each."""
