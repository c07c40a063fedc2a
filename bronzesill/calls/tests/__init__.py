"""Tests of the calls package."""
