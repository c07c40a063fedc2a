"""Tests of the replica."""
