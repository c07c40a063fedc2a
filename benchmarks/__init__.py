"""Benchmarks; each module with a ``main`` function is one command."""
