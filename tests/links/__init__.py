"""Tests of galenatack.links."""
