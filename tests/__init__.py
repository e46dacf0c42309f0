"""Tests of galenatack."""
