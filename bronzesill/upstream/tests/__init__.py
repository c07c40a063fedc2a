"""Tests of connections to backend servers."""
