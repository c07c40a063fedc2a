"""Tests of writes to the store."""
