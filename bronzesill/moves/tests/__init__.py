"""Tests of moves of traffic."""
