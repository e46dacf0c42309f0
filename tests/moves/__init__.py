"""Tests of `galenatack.moves`."""
