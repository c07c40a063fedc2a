"""Tests of orders to backend servers."""
